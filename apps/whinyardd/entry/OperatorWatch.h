// Takes in what operators write: the configuration and the roll-out orders.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"

#include <atomic>
#include <set>

namespace whinyard::daemon {

class OperatorWatch final : public backing::PrefixObserver {
public:
    // Both must outlive the object.
    OperatorWatch(EntryShared& shared, ServeDuty& serving);

    void replaced(const std::vector<backing::Record>& records) override;
    void changed(const std::vector<backing::RecordChange>& changes) override;
    void proven(SteadyTime) override { }
    void failed(const Failure&) override { } // The probe of the store tells of outages.

    // Returns whether there is any order.
    bool hasOrders() const { return !m_ordered.empty(); }

private:
    void take(const backing::Record& record);
    void takeConfiguration(const backing::Record& record);
    void takeOrder(const backing::Record& record);
    void dropOrder(const ServiceName& service);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    std::set<ServiceName> m_ordered; // Services with an order.
};

}
