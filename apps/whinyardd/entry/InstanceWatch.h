// Takes in where the other instances can be reached.
#pragma once

#include "entry/EntryShared.h"
#include "entry/RosterWatch.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"

#include <map>
#include <string>
#include <string_view>

namespace whinyard::daemon {

class InstanceWatch final : public backing::PrefixObserver {
public:
    // Every instance keeps a leased record under this prefix; its value is an address.
    static constexpr std::string_view prefix = "whinyard/instance/";

    // All must outlive the object.
    InstanceWatch(EntryShared& shared, ServeDuty& serving, RosterWatch& roster);

    void replaced(const std::vector<backing::Record>& records) override;
    void changed(const std::vector<backing::RecordChange>& changes) override;
    void proven(SteadyTime) override { }
    void failed(const Failure&) override { }

private:
    void handOn();

    EntryShared& m_shared;
    ServeDuty& m_serving;
    RosterWatch& m_roster;
    std::map<std::string, std::string> m_addresses; // By key.
};

}
