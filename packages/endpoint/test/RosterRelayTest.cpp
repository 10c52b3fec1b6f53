#include "whinyard/endpoint/RosterRelay.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    class RosterRelayTest : public ::testing::Test {
    protected:
        RosterRelayTest()
        {
            for (int i = 0; i < 6; ++i)
                m_instances.push_back({ "entry-" + std::to_string(i) });
            for (const InstanceName& name : m_instances) {
                RosterRelay relay(name);
                relay.useInstances(m_instances);
                (relay.isFollower() ? m_followers : m_others).push_back(name);
            }
            m_relay = std::make_unique<RosterRelay>(m_others.front());
            m_relay->useInstances(m_instances);
            // Which of the two is listened to first shows when both are heard.
            const bool firstLeads = hear(m_followers[0], 1, 0, false) != RelayAction::ignore && hear(m_followers[1], 1, 0, false) == RelayAction::ignore;
            m_lead = m_followers[firstLeads ? 0 : 1];
            m_second = m_followers[firstLeads ? 1 : 0];
        }

        RelayAction hear(const InstanceName& from, std::uint64_t life, std::uint64_t sequence, bool hasChanges)
        {
            return m_relay->hear({ from, life, sequence, hasChanges }, m_clock.now());
        }

        FakeClock m_clock;
        std::vector<InstanceName> m_instances;
        std::vector<InstanceName> m_followers;
        std::vector<InstanceName> m_others;
        std::unique_ptr<RosterRelay> m_relay;
        InstanceName m_lead;
        InstanceName m_second;
    };

    TEST_F(RosterRelayTest, AgreesOnTwoFollowersWithoutAWord)
    {
        EXPECT_EQ(m_followers.size(), 2U);
        EXPECT_EQ(m_others.size(), 4U);
    }

    TEST_F(RosterRelayTest, TakesChangesThatFollowOnEachOther)
    {
        EXPECT_FALSE(m_relay->mustFollow(m_clock.now()));
        EXPECT_EQ(hear(m_lead, 1, 1, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 1, 1, false), RelayAction::ignore);
        EXPECT_EQ(hear(m_lead, 1, 2, true), RelayAction::apply);
        EXPECT_EQ(hear(m_second, 1, 1, true), RelayAction::ignore) << "only one is listened to";
    }

    TEST_F(RosterRelayTest, ReadsAnewAfterAGap)
    {
        EXPECT_EQ(hear(m_lead, 1, 2, true), RelayAction::readAnew) << "a notice was lost";
        EXPECT_EQ(hear(m_lead, 1, 3, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 1, 4, false), RelayAction::readAnew) << "the last change was lost";
        EXPECT_EQ(hear(m_lead, 2, 1, true), RelayAction::readAnew) << "the follower has restarted";
    }

    TEST_F(RosterRelayTest, ListensToTheSecondWhenTheFirstIsSilent)
    {
        m_clock.advance(1s);
        EXPECT_EQ(hear(m_second, 1, 1, true), RelayAction::ignore);
        m_clock.advance(400ms);
        EXPECT_FALSE(m_relay->mustFollow(m_clock.now()));
        EXPECT_EQ(hear(m_second, 1, 2, true), RelayAction::readAnew);
        EXPECT_EQ(hear(m_second, 1, 3, true), RelayAction::apply);
    }

    TEST_F(RosterRelayTest, FollowsTheStoreItselfWhenNobodyIsHeard)
    {
        m_clock.advance(1300ms);
        EXPECT_TRUE(m_relay->mustFollow(m_clock.now()));
        EXPECT_EQ(hear(m_lead, 1, 0, false), RelayAction::readAnew);
        EXPECT_FALSE(m_relay->mustFollow(m_clock.now()));
    }

    TEST_F(RosterRelayTest, FollowsTheStoreWhenItKnowsNoInstance)
    {
        RosterRelay alone({ "entry-9" });
        EXPECT_TRUE(alone.mustFollow(m_clock.now()));
        EXPECT_FALSE(alone.isFollower());
    }

}
}
