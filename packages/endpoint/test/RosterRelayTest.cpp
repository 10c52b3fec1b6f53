#include "whinyard/endpoint/RosterRelay.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    class RosterRelayTest : public ::testing::Test {
    protected:
        RosterRelayTest()
        {
            for (int i = 0; i < 8; ++i)
                m_instances.push_back({ "entry-" + std::to_string(i) });
            for (const InstanceName& name : m_instances) {
                RosterRelay relay(name);
                relay.useInstances(candidates(), m_clock.now());
                (relay.isFollower(m_clock.now()) ? m_followers : m_others).push_back(name);
            }
            m_relay = std::make_unique<RosterRelay>(m_others.front());
            m_relay->useInstances(candidates(), m_clock.now());
            // They are listened to in the order of their names' hashes.
            std::sort(m_followers.begin(), m_followers.end(), [](const auto& left, const auto& right) { return stableHash(left.value) < stableHash(right.value); });
            m_lead = m_followers[0];
            m_second = m_followers[1];
            EXPECT_EQ(hear(m_lead, 1, 0, false), RelayAction::incomplete) << "its list isn't known yet";
            EXPECT_EQ(hear(m_second, 1, 0, false), RelayAction::ignore);
            EXPECT_TRUE(hearWhole(m_lead, 1, 0));
        }

        RelayAction hear(const InstanceName& from, std::uint64_t life, std::uint64_t sequence, bool hasChanges)
        {
            return m_relay->hear({ from, life, sequence, hasChanges }, m_clock.now());
        }

        bool hearWhole(const InstanceName& from, std::uint64_t life, std::uint64_t sequence)
        {
            return m_relay->hearWhole({ from, life, sequence, false }, m_clock.now());
        }

        std::vector<RelayCandidate> candidates() const
        {
            std::vector<RelayCandidate> all;
            for (const InstanceName& name : m_instances)
                all.push_back({ name, 10 });
            return all;
        }

        // In the order in which they follow.
        std::vector<InstanceName> orderedNames() const
        {
            std::vector<InstanceName> names = m_instances;
            std::sort(names.begin(), names.end(), [](const auto& left, const auto& right) { return stableHash(left.value) < stableHash(right.value); });
            return names;
        }

        RosterNeed need() const { return m_relay->need(m_clock.now()); }

        FakeClock m_clock;
        std::vector<InstanceName> m_instances;
        std::vector<InstanceName> m_followers;
        std::vector<InstanceName> m_others;
        std::unique_ptr<RosterRelay> m_relay;
        InstanceName m_lead;
        InstanceName m_second;
    };

    // The second one's watch of the operators' records may be long, as the first one tells it what changes.
    TEST_F(RosterRelayTest, KnowsTheSecondFollowerWhileTheFirstIsHeard)
    {
        RosterRelay first(m_lead);
        RosterRelay second(m_second);
        first.useInstances(candidates(), m_clock.now());
        second.useInstances(candidates(), m_clock.now());
        EXPECT_FALSE(first.isSecondFollower(m_clock.now()));
        EXPECT_FALSE(second.isSecondFollower(m_clock.now())) << "nobody has told it anything yet";
        second.hear({ m_lead, 1, 0, false }, m_clock.now());
        EXPECT_TRUE(second.isSecondFollower(m_clock.now()));
        EXPECT_FALSE(m_relay->isSecondFollower(m_clock.now())) << "it isn't one of them";
        m_clock.advance(RosterRelaySettings().silence + 1ms);
        EXPECT_TRUE(second.isFollower(m_clock.now()));
        EXPECT_FALSE(second.isSecondFollower(m_clock.now())) << "the first one has fallen silent";
    }

    // While one follower fails, the third in order follows too, and takes its list from the store. What the first then tells
    // doesn't build on that list: an endpoint that came and left meanwhile was in no change, and was used for ever.
    TEST_F(RosterRelayTest, NeedsTheWholeListAfterItHasFollowedItself)
    {
        const InstanceName third = orderedNames()[2];
        RosterRelay relay(third);
        relay.useInstances(candidates(), m_clock.now());
        relay.hear({ m_lead, 1, 0, false }, m_clock.now());
        relay.hear({ m_second, 1, 0, false }, m_clock.now());
        ASSERT_TRUE(relay.hearWhole({ m_lead, 1, 0, false }, m_clock.now()));
        relay.hear({ m_lead, 1, 0, false, false }, m_clock.now());
        ASSERT_TRUE(relay.isFollower(m_clock.now()));
        EXPECT_EQ(relay.hear({ m_second, 1, 1, true }, m_clock.now()), RelayAction::ignore);
        EXPECT_EQ(relay.hear({ m_lead, 1, 1, true }, m_clock.now()), RelayAction::incomplete);
    }

    TEST_F(RosterRelayTest, AgreesOnTwoFollowersWithoutAWord)
    {
        EXPECT_EQ(m_followers.size(), 2U);
        EXPECT_EQ(m_others.size(), 6U);
    }

    TEST_F(RosterRelayTest, NamesTheFollowersThatAreHeard)
    {
        EXPECT_EQ(m_relay->followers(m_clock.now()), (std::vector<InstanceName> { m_lead, m_second }));
        m_clock.advance(600ms);
        hear(m_second, 1, 0, false);
        m_clock.advance(600ms);
        EXPECT_EQ(m_relay->followers(m_clock.now()).front(), m_second) << "the first one is silent";
    }

    TEST_F(RosterRelayTest, TakesChangesThatFollowOnEachOther)
    {
        EXPECT_NE(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_lead, 1, 1, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 1, 1, false), RelayAction::ignore);
        EXPECT_EQ(hear(m_lead, 1, 2, true), RelayAction::apply);
        EXPECT_EQ(hear(m_second, 1, 1, true), RelayAction::ignore) << "only one is listened to";
    }

    TEST_F(RosterRelayTest, NeedsTheWholeListAfterAGap)
    {
        EXPECT_EQ(hear(m_lead, 1, 2, true), RelayAction::incomplete) << "a notice was lost";
        EXPECT_EQ(hear(m_lead, 1, 3, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 1, 4, false), RelayAction::incomplete) << "the last change was lost";
        EXPECT_EQ(hear(m_lead, 2, 1, true), RelayAction::incomplete) << "the follower has restarted";
    }

    // Guards against a whole list for each instance, from one follower, whenever a follower ends.
    TEST_F(RosterRelayTest, BuildsOnWhatAnotherFollowerTold)
    {
        const auto hearUpTo = [this](const InstanceName& from, std::uint64_t sequence, bool hasChanges, std::uint64_t since, std::uint64_t upTo) {
            return m_relay->hear({ from, 1, sequence, hasChanges, true, since, upTo }, m_clock.now());
        };
        ASSERT_TRUE(m_relay->hearWhole({ m_lead, 1, 0, false, true, 100, 100 }, m_clock.now()));
        EXPECT_EQ(hearUpTo(m_second, 7, false, 95, 99), RelayAction::ignore);
        EXPECT_EQ(hearUpTo(m_lead, 0, false, 100, 110), RelayAction::ignore);
        m_clock.advance(RosterRelaySettings().silence + 1ms);
        EXPECT_EQ(hearUpTo(m_second, 9, true, 95, 112), RelayAction::apply) << "a notice of it was missed, and nothing by that";
        EXPECT_EQ(m_relay->need(m_clock.now()), RosterNeed::nothing);
        ASSERT_TRUE(m_relay->known());
        EXPECT_EQ(m_relay->known()->upTo, 112U);
        EXPECT_EQ(m_relay->known()->since, 112U);
        EXPECT_EQ(hearUpTo(m_second, 9, false, 112, 115), RelayAction::ignore);
        EXPECT_EQ(m_relay->known()->since, 112U);
        // Changes between 115 and 118 were told in a notice that was lost.
        EXPECT_EQ(hearUpTo(m_second, 10, false, 118, 120), RelayAction::incomplete);
        EXPECT_FALSE(m_relay->known()) << "the store can't be watched on from what isn't whole";
        EXPECT_EQ(m_relay->need(m_clock.now()), RosterNeed::ask);
        EXPECT_EQ(hearUpTo(m_second, 10, false, 118, 121), RelayAction::ignore);
        EXPECT_FALSE(m_relay->known());
        ASSERT_TRUE(m_relay->hearWhole({ m_second, 1, 10, false, true, 118, 118 }, m_clock.now()));
        EXPECT_EQ(hearUpTo(m_second, 10, false, 118, 122), RelayAction::ignore);
        EXPECT_EQ(m_relay->known()->upTo, 122U);
    }

    // Guards against the whole list for every instance where the first follower returns: it has read the list at a revision that the others
    // haven't told yet.
    TEST_F(RosterRelayTest, WaitsForWhatAnotherFollowerIsToTell)
    {
        constexpr std::uint64_t returned = 2; // Its life.
        const auto hearUpTo = [this](const InstanceName& from, std::uint64_t life, std::uint64_t sequence, bool hasChanges, std::uint64_t since, std::uint64_t upTo) {
            return m_relay->hear({ from, life, sequence, hasChanges, true, since, upTo }, m_clock.now());
        };
        const auto begin = [&] {
            ASSERT_TRUE(m_relay->hearWhole({ m_lead, 1, 0, false, true, 100, 100 }, m_clock.now()));
            hearUpTo(m_second, 1, 7, false, 95, 101);
            EXPECT_EQ(hearUpTo(m_lead, returned, 1, false, 120, 120), RelayAction::ignore);
            EXPECT_EQ(hearUpTo(m_lead, returned, 2, true, 121, 122), RelayAction::ignore) << "the other one tells it as well";
            EXPECT_EQ(need(), RosterNeed::nothing);
            EXPECT_EQ(m_relay->known()->upTo, 101U) << "what was told so far holds";
        };
        begin();
        EXPECT_EQ(hearUpTo(m_second, 1, 8, true, 95, 119), RelayAction::apply);
        EXPECT_EQ(hearUpTo(m_second, 1, 9, true, 119, 125), RelayAction::apply);
        EXPECT_EQ(hearUpTo(m_lead, returned, 3, true, 122, 126), RelayAction::apply);
        m_clock.advance(RosterRelaySettings().catchUp + 1ms);
        EXPECT_EQ(need(), RosterNeed::nothing);

        // It isn't told: the whole list is needed.
        hearUpTo(m_lead, 1, 0, false, 126, 126);
        begin();
        m_clock.advance(RosterRelaySettings().catchUp + 1ms);
        EXPECT_EQ(need(), RosterNeed::ask);

        // The other one ends.
        hearUpTo(m_lead, 1, 0, false, 126, 126);
        begin();
        m_clock.advance(RosterRelaySettings().catchUp - 1ms);
        EXPECT_EQ(need(), RosterNeed::nothing);
        m_relay->hear({ m_second, 1, 7, false, false }, m_clock.now());
        EXPECT_EQ(hearUpTo(m_lead, returned, 2, false, 122, 123), RelayAction::incomplete);
        EXPECT_EQ(need(), RosterNeed::ask);
    }

    // What the returned follower tells meanwhile isn't applied. Guards against a leaving endpoint that is used for good, where the other follower
    // never tells it: a list would count as complete up to a revision whose changes it lacks.
    TEST_F(RosterRelayTest, MissesNoChangeThatWasIgnoredAndThatTheOtherNeverTells)
    {
        constexpr std::uint64_t returned = 2; // Its life.
        ASSERT_TRUE(m_relay->hearWhole({ m_lead, 1, 0, false, true, 100, 100 }, m_clock.now()));
        m_relay->hear({ m_second, 1, 7, false, true, 95, 101 }, m_clock.now());
        EXPECT_EQ(m_relay->hear({ m_lead, returned, 1, false, true, 120, 120 }, m_clock.now()), RelayAction::ignore);
        EXPECT_EQ(m_relay->hear({ m_lead, returned, 2, true, true, 121, 122 }, m_clock.now()), RelayAction::ignore);
        EXPECT_EQ(m_relay->hear({ m_second, 1, 8, true, true, 95, 121 }, m_clock.now()), RelayAction::apply);
        EXPECT_NE(m_relay->hear({ m_lead, returned, 3, true, true, 122, 126 }, m_clock.now()), RelayAction::apply);
        m_clock.advance(RosterRelaySettings().catchUp + 1ms);
        EXPECT_EQ(need(), RosterNeed::ask);
    }

    // Many changes at once are told by none: nobody waits for them.
    TEST_F(RosterRelayTest, AsksAtOnceForWhatNobodyTells)
    {
        ASSERT_TRUE(m_relay->hearWhole({ m_lead, 1, 0, false, true, 100, 100 }, m_clock.now()));
        m_relay->hear({ m_second, 1, 7, false, true, 95, 101 }, m_clock.now());
        EXPECT_EQ(m_relay->hear({ m_lead, 1, 1, false, true, 120, 120 }, m_clock.now()), RelayAction::incomplete);
        EXPECT_EQ(need(), RosterNeed::ask);
    }

    // Guards against changes that build on another era of the store, in which the same numbers name other states.
    TEST_F(RosterRelayTest, BuildsOnNoStatementOfAnotherEra)
    {
        const auto hearUpTo = [this](const InstanceName& from, std::uint64_t sequence, bool hasChanges, const Revision& since, const Revision& upTo) {
            return m_relay->hear({ from, 1, sequence, hasChanges, true, since, upTo }, m_clock.now());
        };
        ASSERT_TRUE(m_relay->hearWhole({ m_lead, 1, 0, false, true, Revision(2, 100), Revision(2, 100) }, m_clock.now()));
        EXPECT_EQ(hearUpTo(m_second, 7, true, { 1, 95 }, { 1, 120 }), RelayAction::ignore) << "it has not seen the store's return yet";
        EXPECT_EQ(m_relay->known()->upTo, Revision(2, 100));
        EXPECT_EQ(hearUpTo(m_lead, 1, true, { 3, 90 }, { 3, 95 }), RelayAction::apply) << "it follows on the last notice of the same instance";
        EXPECT_EQ(m_relay->known()->upTo, Revision(3, 95));
    }

    TEST_F(RosterRelayTest, IsSilentOnceTheStoreFailsIt)
    {
        RosterRelay lead(m_lead, relaySettingsFor(2s));
        lead.useInstances(candidates(), m_clock.now());
        EXPECT_FALSE(lead.mayTell(m_clock.now())) << "it has read nothing yet";
        lead.noteCurrent(m_clock.now());
        EXPECT_TRUE(lead.mayTell(m_clock.now()));
        m_clock.advance(900ms);
        EXPECT_FALSE(lead.mayTell(m_clock.now())) << "what changed since, it doesn't know";
        lead.noteCurrent(m_clock.now());
        lead.noteFailed(m_clock.now());
        EXPECT_FALSE(lead.mayTell(m_clock.now())) << "the store turned it away";
        EXPECT_FALSE(m_relay->mayTell(m_clock.now())) << "it is no follower";
    }

    TEST(RosterRelaySettingsTest, LeaveTimeForALeavingEndpoint)
    {
        for (const std::chrono::milliseconds drain : { 1'000ms, 2'000ms, 3'000ms, 10'000ms }) {
            const RosterRelaySettings settings = relaySettingsFor(drain);
            EXPECT_LT(settings.currentFor + settings.silence + settings.tellInterval / 2, drain * 9 / 10) << drain.count();
            EXPECT_LT(settings.pause, settings.currentFor) << "a follower is current between its calls";
            EXPECT_GE(settings.silence, 3 * settings.tellInterval) << "two statements may be lost";
            EXPECT_GT(settings.catchUp, settings.pause) << "another follower has looked at the store meanwhile";
            // A change, both followers' notices of which are lost: found out by the next statement, read then.
            EXPECT_LT(settings.pause + settings.tellInterval + settings.catchUp, drain * 6 / 10) << drain.count();
        }
    }

    TEST_F(RosterRelayTest, ListensToTheSecondWhenTheFirstIsSilent)
    {
        m_clock.advance(600ms);
        EXPECT_EQ(hear(m_second, 1, 1, true), RelayAction::ignore);
        m_clock.advance(300ms);
        EXPECT_NE(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_second, 1, 2, true), RelayAction::incomplete);
        EXPECT_EQ(hear(m_second, 1, 3, true), RelayAction::apply);
    }

    TEST_F(RosterRelayTest, FollowsTheStoreItselfWhenNobodyIsHeard)
    {
        m_clock.advance(1300ms);
        EXPECT_EQ(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_lead, 1, 0, false), RelayAction::incomplete);
        EXPECT_NE(need(), RosterNeed::follow);
    }

    TEST_F(RosterRelayTest, TakesOverFromAFollowerThatTheStoreFails)
    {
        RosterRelay third(orderedNames()[2]);
        third.useInstances(candidates(), m_clock.now());
        third.hear({ m_lead, 1, 0, false }, m_clock.now());
        third.hear({ m_second, 1, 0, false }, m_clock.now());
        EXPECT_FALSE(third.isFollower(m_clock.now()));
        third.hear({ m_second, 1, 0, false, false }, m_clock.now());
        EXPECT_TRUE(third.isFollower(m_clock.now()));
        third.hear({ m_second, 1, 0, false }, m_clock.now());
        EXPECT_FALSE(third.isFollower(m_clock.now())) << "it is back";
    }

    // A store that was silent for 5 s silences all followers, and 80 of 82 instances read and watched the whole list then.
    TEST_F(RosterRelayTest, WaitsForFollowersThatAStoreWasAwayFrom)
    {
        const std::vector<InstanceName> names = orderedNames();
        RosterRelay last(names.back());
        last.useInstances(candidates(), m_clock.now());
        const auto sayThatTheStoreFails = [&] {
            for (std::size_t rank = 0; rank < RosterRelaySettings().mostFailed; ++rank)
                last.hear({ names[rank], 1, 0, false, false }, m_clock.now());
        };
        for (int step = 0; step < 25; ++step) {
            m_clock.advance(200ms);
            sayThatTheStoreFails();
            EXPECT_EQ(last.need(m_clock.now()), RosterNeed::nothing);
        }
        m_clock.advance(2500ms);
        EXPECT_EQ(last.need(m_clock.now()), RosterNeed::nothing) << "they wait themselves for entries that lapsed";
        m_clock.advance(800ms);
        EXPECT_EQ(last.need(m_clock.now()), RosterNeed::follow) << "they are gone";
        EXPECT_EQ(last.hear({ m_second, 1, 0, false }, m_clock.now()), RelayAction::incomplete);
        EXPECT_EQ(last.need(m_clock.now()), RosterNeed::ask);
    }

    TEST_F(RosterRelayTest, AsksAFollowerForWhatItMissed)
    {
        EXPECT_EQ(need(), RosterNeed::nothing);
        hear(m_lead, 1, 2, true);
        EXPECT_EQ(need(), RosterNeed::ask);
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { m_lead });
        EXPECT_EQ(need(), RosterNeed::nothing) << "the answer is on its way";
        EXPECT_FALSE(hearWhole(m_second, 1, 0)) << "nobody else's list fits the changes that follow";
        EXPECT_TRUE(hearWhole(m_lead, 1, 2));
        EXPECT_EQ(need(), RosterNeed::nothing);
        EXPECT_EQ(hear(m_lead, 1, 3, true), RelayAction::apply);
    }

    TEST_F(RosterRelayTest, AsksTheStoreWhenNoAnswerComes)
    {
        hear(m_lead, 1, 2, true);
        for (int request = 0; request < 3; ++request) {
            EXPECT_EQ(need(), RosterNeed::ask);
            m_relay->toAsk(m_clock.now());
            m_clock.advance(300ms);
            hear(m_lead, 1, 2, false);
        }
        EXPECT_EQ(need(), RosterNeed::follow);
        m_relay->noteRead();
        EXPECT_EQ(need(), RosterNeed::nothing);
    }

    TEST_F(RosterRelayTest, AsksTheFirstInstancesAtItsStart)
    {
        const std::vector<InstanceName> names = orderedNames();
        RosterRelay starting(names.back());
        starting.useInstances(candidates(), m_clock.now());
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::ask);
        EXPECT_EQ(starting.toAsk(m_clock.now()), (std::vector<InstanceName> { names[0], names[1] }));
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::nothing);
        m_clock.advance(350ms);
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::ask) << "the next two have their turn";
        EXPECT_EQ(starting.toAsk(m_clock.now()), (std::vector<InstanceName> { names[0], names[1], names[2], names[3] }));
        EXPECT_TRUE(starting.hearWhole({ names[3], 1, 5, false }, m_clock.now()));
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::nothing);
    }

    TEST_F(RosterRelayTest, FollowsTheStoreWhereNobodyAnswersItsStart)
    {
        RosterRelay starting(orderedNames().back());
        starting.useInstances(candidates(), m_clock.now());
        m_clock.advance(4s);
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::follow) << "they may all be gone";
    }

    TEST_F(RosterRelayTest, PrefersInstancesWithLargeLinks)
    {
        std::vector<RelayCandidate> all = candidates();
        for (RelayCandidate& candidate : all)
            candidate.linkMegabits = candidate.name == m_others.front() ? 200 : 10;
        m_relay->useInstances(all, m_clock.now());
        EXPECT_TRUE(m_relay->isFollower(m_clock.now()));
    }

    TEST_F(RosterRelayTest, FollowsTheStoreWhenItKnowsNoInstance)
    {
        RosterRelay alone({ "entry-9" });
        EXPECT_EQ(alone.need(m_clock.now()), RosterNeed::follow);
        EXPECT_FALSE(alone.isFollower(m_clock.now()));
    }

}
}
