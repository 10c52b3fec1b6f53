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
            EXPECT_EQ(hear(m_lead, 100, 100), RelayAction::incomplete) << "its list isn't known yet";
            EXPECT_EQ(hear(m_second, 100, 100), RelayAction::incomplete);
            EXPECT_TRUE(m_relay->hearList({}, 100, m_clock.now() - RosterRelaySettings().listInterval));
        }

        RosterStatement statement(const InstanceName& from, const Revision& since, const Revision& upTo, bool hasChanges = false)
        {
            return { from, 1, ++m_number, hasChanges, true, since, upTo };
        }

        RelayAction hear(const InstanceName& from, const Revision& since, const Revision& upTo, bool hasChanges = false)
        {
            return m_relay->hear(statement(from, since, upTo, hasChanges), m_clock.now());
        }

        RosterStatement failure(const InstanceName& from) { return { from, 1, ++m_number, false, false }; }

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

        RosterNeed need() { return m_relay->need(m_clock.now()); }

        FakeClock m_clock;
        std::vector<InstanceName> m_instances;
        std::vector<InstanceName> m_followers;
        std::vector<InstanceName> m_others;
        std::unique_ptr<RosterRelay> m_relay;
        InstanceName m_lead;
        InstanceName m_second;
        std::uint64_t m_number = 0;
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
        second.hear(statement(m_lead, 100, 100), m_clock.now());
        EXPECT_TRUE(second.isSecondFollower(m_clock.now()));
        EXPECT_FALSE(m_relay->isSecondFollower(m_clock.now())) << "it isn't one of them";
        m_clock.advance(RosterRelaySettings().silence + 1ms);
        EXPECT_TRUE(second.isFollower(m_clock.now()));
        EXPECT_FALSE(second.isSecondFollower(m_clock.now())) << "the first one has fallen silent";
    }

    // While one follower fails, the third in order follows too, and takes its list from the store. What the first then tells
    // may not build on that list: an endpoint that came and left meanwhile was in no change, and was used for ever.
    TEST_F(RosterRelayTest, NeedsWhatChangedSinceItHasFollowedItself)
    {
        const InstanceName third = orderedNames()[2];
        RosterRelay relay(third);
        relay.useInstances(candidates(), m_clock.now());
        relay.hear(statement(m_lead, 100, 100), m_clock.now());
        relay.hear(statement(m_second, 100, 100), m_clock.now());
        ASSERT_TRUE(relay.hearList({}, 100, m_clock.now()));
        relay.hear(failure(m_lead), m_clock.now());
        ASSERT_TRUE(relay.isFollower(m_clock.now()));
        relay.noteRead(120);
        relay.noteCurrent(m_clock.now());
        EXPECT_EQ(relay.hear(statement(m_second, 100, 119, true), m_clock.now()), RelayAction::ignore);
        EXPECT_EQ(relay.hear(statement(m_lead, 125, 130, true), m_clock.now()), RelayAction::incomplete) << "it is back";
        EXPECT_EQ(relay.listedUpTo(), 120U) << "from there on it is to be told";
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
        hear(m_second, 100, 100);
        m_clock.advance(600ms);
        EXPECT_EQ(m_relay->followers(m_clock.now()).front(), m_second) << "the first one is silent";
    }

    TEST_F(RosterRelayTest, TakesChangesThatFollowOnEachOther)
    {
        EXPECT_NE(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_lead, 100, 105, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 105, 105), RelayAction::ignore);
        EXPECT_EQ(hear(m_lead, 105, 110, true), RelayAction::apply);
        EXPECT_EQ(hear(m_second, 100, 108, true), RelayAction::ignore) << "all of that is known";
        EXPECT_EQ(m_relay->listedUpTo(), 110U);
    }

    // Guards against statements that go round for ever, and against older ones that overtake newer ones.
    TEST_F(RosterRelayTest, TakesEachStatementOnce)
    {
        const RosterStatement first = statement(m_lead, 100, 105, true);
        const RosterStatement second = statement(m_lead, 105, 105);
        EXPECT_FALSE(m_relay->hasHeard(first));
        EXPECT_EQ(m_relay->hear(first, m_clock.now()), RelayAction::apply);
        EXPECT_TRUE(m_relay->hasHeard(first));
        EXPECT_EQ(m_relay->hear(first, m_clock.now()), RelayAction::ignore);
        m_relay->hear(second, m_clock.now());
        EXPECT_TRUE(m_relay->hasHeard(first));
        RosterStatement ofNextLife = first;
        ofNextLife.life = 2;
        EXPECT_FALSE(m_relay->hasHeard(ofNextLife));
    }

    TEST_F(RosterRelayTest, NeedsWhatChangedAfterAGap)
    {
        EXPECT_EQ(hear(m_lead, 103, 105, true), RelayAction::incomplete) << "a notice was lost";
        EXPECT_EQ(need(), RosterNeed::ask);
        EXPECT_EQ(m_relay->listedUpTo(), 100U) << "what was told so far holds";
        EXPECT_TRUE(m_relay->hearList(100, 105, m_clock.now()));
        EXPECT_EQ(need(), RosterNeed::nothing);
        EXPECT_EQ(hear(m_lead, 105, 106, true), RelayAction::apply);
        EXPECT_EQ(hear(m_lead, 108, 108), RelayAction::incomplete) << "the last change was lost";
        EXPECT_EQ(hear(m_second, 106, 109, true), RelayAction::apply) << "the other one tells it";
        EXPECT_EQ(need(), RosterNeed::nothing);
    }

    // Guards against the whole list for each instance, from one follower, whenever a follower ends.
    TEST_F(RosterRelayTest, BuildsOnWhatAnotherFollowerTold)
    {
        EXPECT_EQ(hear(m_second, 95, 99), RelayAction::ignore);
        EXPECT_EQ(hear(m_lead, 100, 110), RelayAction::ignore);
        m_clock.advance(RosterRelaySettings().silence + 1ms);
        EXPECT_EQ(hear(m_second, 95, 112, true), RelayAction::apply) << "a notice of it was missed, and nothing by that";
        EXPECT_EQ(need(), RosterNeed::nothing);
        EXPECT_EQ(m_relay->listedUpTo(), 112U);
        EXPECT_EQ(hear(m_second, 112, 115), RelayAction::ignore);
        // Changes between 115 and 118 were told in a notice that was lost.
        EXPECT_EQ(hear(m_second, 118, 120), RelayAction::incomplete);
        EXPECT_EQ(m_relay->listedUpTo(), 115U);
        EXPECT_EQ(need(), RosterNeed::ask);
        EXPECT_EQ(hear(m_second, 118, 121), RelayAction::incomplete);
        EXPECT_EQ(m_relay->listedUpTo(), 115U);
        ASSERT_TRUE(m_relay->hearList(115, 118, m_clock.now()));
        EXPECT_EQ(need(), RosterNeed::nothing);
        EXPECT_EQ(hear(m_second, 118, 122), RelayAction::ignore);
        EXPECT_EQ(m_relay->listedUpTo(), 122U);
    }

    // Guards against a leaving endpoint that is used for good: a list that counts as complete up to a revision whose changes it lacks.
    TEST_F(RosterRelayTest, IsIncompleteUntilEverythingIsToldThatWasMissed)
    {
        EXPECT_EQ(hear(m_lead, 120, 122, true), RelayAction::incomplete);
        EXPECT_TRUE(m_relay->hearList(100, 121, m_clock.now()));
        EXPECT_TRUE(m_relay->isIncomplete()) << "the source knew less than was stated";
        EXPECT_EQ(need(), RosterNeed::nothing) << "more may be told meanwhile";
        m_clock.advance(RosterRelaySettings().listInterval);
        EXPECT_EQ(need(), RosterNeed::ask);
        EXPECT_FALSE(m_relay->hearList(122, 126, m_clock.now())) << "what changed between is missing";
        EXPECT_TRUE(m_relay->hearList(100, 122, m_clock.now())) << "more than is needed does no harm";
        EXPECT_FALSE(m_relay->isIncomplete());
        EXPECT_FALSE(m_relay->hearList(100, 121, m_clock.now())) << "it is outdated";
        EXPECT_EQ(m_relay->listedUpTo(), 122U);
    }

    // Guards against a follower that returns with a newer list than the others know: they ask for what changed, not for the whole list.
    TEST_F(RosterRelayTest, AsksForWhatChangedWhereAFollowerReturns)
    {
        RosterStatement returned = statement(m_lead, 120, 120);
        returned.life = 2;
        EXPECT_EQ(m_relay->hear(returned, m_clock.now()), RelayAction::incomplete);
        EXPECT_EQ(m_relay->listedUpTo(), 100U);
        EXPECT_EQ(need(), RosterNeed::ask);
    }

    // Guards against changes that build on another era of the store, in which the same numbers name other states.
    TEST_F(RosterRelayTest, BuildsOnNoStatementOfAnotherEra)
    {
        ASSERT_TRUE(m_relay->hearList({}, Revision(2, 100), m_clock.now()));
        EXPECT_EQ(hear(m_second, { 1, 95 }, { 1, 120 }, true), RelayAction::ignore) << "it has not seen the store's return yet";
        EXPECT_EQ(m_relay->listedUpTo(), Revision(2, 100));
        EXPECT_EQ(hear(m_lead, { 3, 90 }, { 3, 95 }, true), RelayAction::incomplete);
        EXPECT_EQ(hear(m_lead, { 2, 100 }, { 3, 96 }, true), RelayAction::apply) << "it says what has changed since";
        EXPECT_EQ(m_relay->listedUpTo(), Revision(3, 96));
    }

    // Guards against a follower whose list stays as it was, where the store turns it away and serves others.
    TEST_F(RosterRelayTest, ListensToOthersOnceTheStoreFailsIt)
    {
        RosterRelay lead(m_lead);
        lead.useInstances(candidates(), m_clock.now());
        lead.noteRead(100);
        lead.noteCurrent(m_clock.now());
        EXPECT_EQ(lead.hear(statement(m_second, 100, 101, true), m_clock.now()), RelayAction::ignore) << "its own list comes from the store";
        lead.noteFailed(m_clock.now());
        EXPECT_EQ(lead.hear(statement(m_second, 100, 102, true), m_clock.now()), RelayAction::apply);
        lead.noteCurrent(m_clock.now());
        EXPECT_EQ(lead.hear(statement(m_second, 102, 103, true), m_clock.now()), RelayAction::ignore);
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
            // A change, both followers' notices of which are lost: found out by the next statement, read then.
            EXPECT_LT(settings.pause + settings.tellInterval + settings.answerWait, drain * 6 / 10) << drain.count();
        }
    }

    TEST_F(RosterRelayTest, ListensToTheSecondWhenTheFirstIsSilent)
    {
        m_clock.advance(600ms);
        EXPECT_EQ(hear(m_second, 100, 101, true), RelayAction::apply);
        m_clock.advance(300ms);
        EXPECT_NE(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_second, 102, 103, true), RelayAction::incomplete);
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { m_second });
    }

    TEST_F(RosterRelayTest, FollowsTheStoreItselfWhenNobodyIsHeard)
    {
        m_clock.advance(1300ms);
        EXPECT_EQ(need(), RosterNeed::follow);
        EXPECT_EQ(hear(m_lead, 101, 101), RelayAction::incomplete);
        EXPECT_NE(need(), RosterNeed::follow);
    }

    TEST_F(RosterRelayTest, TakesOverFromAFollowerThatTheStoreFails)
    {
        RosterRelay third(orderedNames()[2]);
        third.useInstances(candidates(), m_clock.now());
        third.hear(statement(m_lead, 100, 100), m_clock.now());
        third.hear(statement(m_second, 100, 100), m_clock.now());
        EXPECT_FALSE(third.isFollower(m_clock.now()));
        third.hear(failure(m_second), m_clock.now());
        EXPECT_TRUE(third.isFollower(m_clock.now()));
        third.hear(statement(m_second, 100, 100), m_clock.now());
        EXPECT_FALSE(third.isFollower(m_clock.now())) << "it is back";
    }

    // A store that was silent for 5 s silences all followers, and 80 of 82 instances read and watched the whole list then.
    TEST_F(RosterRelayTest, WaitsForFollowersThatAStoreWasAwayFrom)
    {
        const std::vector<InstanceName> names = orderedNames();
        RosterRelay last(names.back());
        last.useInstances(candidates(), m_clock.now());
        ASSERT_TRUE(last.hearList({}, 100, m_clock.now()));
        const auto sayThatTheStoreFails = [&] {
            for (std::size_t rank = 0; rank < RosterRelaySettings().mostFailed; ++rank)
                last.hear(failure(names[rank]), m_clock.now());
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
        EXPECT_EQ(last.hear(statement(m_second, 105, 105), m_clock.now()), RelayAction::incomplete);
        EXPECT_EQ(last.need(m_clock.now()), RosterNeed::ask);
    }

    TEST_F(RosterRelayTest, AsksAFollowerForWhatItMissed)
    {
        EXPECT_EQ(need(), RosterNeed::nothing);
        hear(m_lead, 104, 105, true);
        EXPECT_EQ(need(), RosterNeed::ask);
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { m_lead });
        EXPECT_EQ(need(), RosterNeed::nothing) << "the answer is on its way";
        EXPECT_FALSE(m_relay->hearList(104, 105, m_clock.now())) << "it doesn't build on what is known";
        EXPECT_TRUE(m_relay->hearList(100, 105, m_clock.now()));
        EXPECT_EQ(need(), RosterNeed::nothing);
        EXPECT_EQ(hear(m_lead, 105, 106, true), RelayAction::apply);
    }

    // Guards against followers that answer everybody: whoever knows the list is one more to ask.
    TEST_F(RosterRelayTest, AsksOneThatKnowsWhatIsMissing)
    {
        hear(m_lead, 120, 120);
        m_relay->hearTeller({ "knows-less" }, 110, m_clock.now());
        m_relay->hearTeller({ "knows-nothing-new" }, 100, m_clock.now());
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { { "knows-less" } }) << "a part of it helps";
        m_relay->hearTeller({ "knows-it" }, 120, m_clock.now());
        for (int draw = 0; draw < 20; ++draw)
            EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { { "knows-it" } });
        m_relay->noteRefused({ "knows-it" }, 700ms, m_clock.now());
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { { "knows-less" } }) << "the other one sends as much as it may";
        m_clock.advance(700ms);
        EXPECT_EQ(m_relay->toAsk(m_clock.now()), std::vector<InstanceName> { { "knows-it" } });
    }

    TEST_F(RosterRelayTest, AsksTheStoreWhenNoAnswerComes)
    {
        hear(m_lead, 104, 105, true);
        for (int request = 0; request < 3; ++request) {
            EXPECT_EQ(need(), RosterNeed::ask);
            m_relay->toAsk(m_clock.now());
            m_clock.advance(300ms);
            hear(m_lead, 105, 105);
        }
        EXPECT_EQ(need(), RosterNeed::follow);
        m_relay->noteRead(105);
        EXPECT_EQ(need(), RosterNeed::nothing);
    }

    // Guards against a store that all instances read at once, where what they rely on fails: it slows down what they wait for.
    TEST_F(RosterRelayTest, LetsFewOfManyReadTheStoreAtOnce)
    {
        constexpr std::size_t instances = 2'000;
        std::vector<RelayCandidate> all;
        for (std::size_t i = 0; i < instances; ++i)
            all.push_back({ { "entry-" + std::to_string(i) }, 20 });
        std::size_t reading = 0;
        for (std::size_t i = 0; i < instances; i += 4) {
            RosterRelay relay(all[i].name);
            relay.useInstances(all, m_clock.now());
            m_number = 0;
            relay.hear(statement({ "entry-1" }, 100, 100), m_clock.now());
            SteadyTime now = m_clock.now();
            bool reads = false;
            for (int look = 0; look < 40; ++look) {
                now += 100ms;
                relay.hear(statement({ "entry-1" }, 100, 100), now);
                const RosterNeed need = relay.need(now);
                if (need == RosterNeed::ask)
                    relay.noteRefused(relay.toAsk(now).front(), 0ms, now);
                reads = reads || (need == RosterNeed::follow && !relay.isFollower(now));
            }
            reading += reads ? 1 : 0;
        }
        EXPECT_LE(reading, 24U) << "in four seconds";
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
        EXPECT_TRUE(starting.hearList({}, 5, m_clock.now()));
        EXPECT_EQ(starting.need(m_clock.now()), RosterNeed::nothing);
    }

    // Guards against a whole read of the store by each follower that restarts, after which nobody can be told what changed before.
    TEST_F(RosterRelayTest, AsksOthersBeforeItFollowsTheStore)
    {
        RosterRelay lead(m_lead);
        lead.useInstances(candidates(), m_clock.now());
        EXPECT_EQ(lead.need(m_clock.now()), RosterNeed::ask);
        EXPECT_EQ(lead.toAsk(m_clock.now()), std::vector<InstanceName> { m_second });
        EXPECT_EQ(lead.need(m_clock.now()), RosterNeed::nothing);
        EXPECT_TRUE(lead.hearList({}, 100, m_clock.now()));
        EXPECT_EQ(lead.need(m_clock.now()), RosterNeed::follow);
        EXPECT_EQ(lead.listedUpTo(), 100U) << "it watches on from there";

        RosterRelay amongNew(m_lead);
        amongNew.useInstances(candidates(), m_clock.now());
        for (std::uint32_t request = 0; request < RosterRelaySettings().firstRequests; ++request) {
            EXPECT_EQ(amongNew.need(m_clock.now()), RosterNeed::ask);
            amongNew.noteRefused(amongNew.toAsk(m_clock.now()).front(), 0ms, m_clock.now());
        }
        EXPECT_EQ(amongNew.need(m_clock.now()), RosterNeed::follow) << "nobody knows a list";
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
