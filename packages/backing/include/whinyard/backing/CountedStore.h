// A watchable store that counts the calls made to another one, by kind and prefix, in full prices.
//
// The daemon wraps the site's store in it: every call has its price there, so that a mechanism which calls too often shows
// in the metrics by its purpose.
#pragma once

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Metrics.h"

#include <memory>
#include <string>
#include <string_view>

namespace whinyard::backing {

class CountedStore final : public WatchableStore {
public:
    // `metrics` must outlive the object.
    CountedStore(std::unique_ptr<WatchableStore> store, Metrics& metrics);

    std::uint64_t era() const override { return m_store->era(); }
    std::optional<RecordPage> range(const std::string& prefix, const std::string& after, ReadAge age, Failure& failure) override;
    std::optional<ChangePage> watch(const std::string& prefix, Revision after, std::chrono::milliseconds wait, Failure& failure) override;
    void interruptReads() override { m_store->interruptReads(); }
    bool answers(Failure& failure) override;
    std::optional<Revision> transact(const Transaction& transaction, Failure& failure) override;
    std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) override;
    bool keepLease(LeaseId lease, Failure& failure) override;
    bool endLease(LeaseId lease, Failure& failure) override;

private:
    void count(std::string_view call, const std::string& prefix, std::uint64_t tenths);

    const std::unique_ptr<WatchableStore> m_store;
    Metrics& m_metrics;
};

}
