// A watchable store whose numbers mean what they meant: over another one that may come back from an older copy, it refuses what names
// a number of an earlier era, and leaves out answers of one.
//
// The daemon wraps the site's store in it, so that the adapter only says which era an answer states.
#pragma once

#include "whinyard/backing/WatchableStore.h"

#include <memory>
#include <string>

namespace whinyard::backing {

class EraStore final : public WatchableStore {
public:
    // The other store's era() must be that of the answer by which its last call returned.
    explicit EraStore(std::unique_ptr<WatchableStore> store);

    // Returns the newest era that an answer has stated.
    std::uint64_t era() const override { return m_era; }

    std::optional<RecordPage> range(const std::string& prefix, const std::string& after, ReadAge age, Failure& failure) override;
    std::optional<ChangePage> watch(const std::string& prefix, Revision after, std::chrono::milliseconds wait, Failure& failure) override;
    void interruptReads() override { m_store->interruptReads(); }

    // An answer of an earlier era shows as well that the service is there.
    bool answers(Failure& failure) override;

    std::optional<Revision> transact(const Transaction& transaction, Failure& failure) override;
    std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override;
    bool keepLease(LeaseId lease, Failure& failure) override;
    bool endLease(LeaseId lease, Failure& failure) override;

private:
    bool noteEra(ErrorKind late, Failure& failure);
    bool isOfEra(LeaseId lease, Failure& failure) const;
    bool isOfEra(const Transaction& transaction, Failure& failure) const;

    const std::unique_ptr<WatchableStore> m_store;
    std::uint64_t m_era = 0;
    bool m_wasAnswered = false;
};

}
