#include "whinyard/endpoint/RosterHistory.h"

#include <gtest/gtest.h>

#include <string>

namespace whinyard::endpoint {
namespace {

    const EndpointName a { "a" };
    const EndpointName b { "b" };

    TEST(RosterHistoryTest, NamesWhatChangedAfterARevision)
    {
        RosterHistory history;
        history.begin(10);
        EXPECT_EQ(history.newest(), 10U);
        EXPECT_TRUE(history.note(a, 12));
        EXPECT_TRUE(history.note(b, 14));
        EXPECT_TRUE(history.note(a, 15));
        EXPECT_EQ(history.changedAfter(10), (std::vector<EndpointName> { a, b }));
        EXPECT_EQ(history.changedAfter(14), std::vector<EndpointName> { a });
        EXPECT_TRUE(history.changedAfter(15).empty());
        EXPECT_EQ(history.newest(), 15U);
        EXPECT_FALSE(history.reachesBackTo(9)) << "changes before are not known";
        EXPECT_TRUE(history.reachesBackTo(10));
    }

    // Guards against an endpoint that leaves and is taken for ready again, by a list that was read before and arrives later.
    TEST(RosterHistoryTest, KnowsWhatIsOutdated)
    {
        RosterHistory history;
        history.begin(10);
        EXPECT_TRUE(history.note(a, 14));
        EXPECT_FALSE(history.note(a, 13));
        EXPECT_FALSE(history.note(b, 10)) << "all up to there is known";
        EXPECT_TRUE(history.isNewer(a, 13));
        EXPECT_FALSE(history.isNewer(a, 14));
        history.begin(13);
        EXPECT_TRUE(history.isNewer(a, 13)) << "what was known before stays newer";
    }

    // Guards against an instance that keeps for good what changed and changed back while another one didn't look.
    TEST(RosterHistoryTest, TellsNoDifferenceToAStateWithinAGap)
    {
        RosterHistory history;
        history.begin(10);
        history.note(a, 12);
        history.noteGap(12, 20);
        history.note(b, 20);
        EXPECT_TRUE(history.reachesBackTo(12));
        EXPECT_FALSE(history.reachesBackTo(15));
        EXPECT_TRUE(history.reachesBackTo(20));
        EXPECT_EQ(history.changedAfter(12), std::vector<EndpointName> { b });
    }

    TEST(RosterHistoryTest, ForgetsTheOldestChanges)
    {
        RosterHistory history;
        history.begin(0);
        for (std::uint64_t revision = 1; revision <= 100; ++revision)
            history.note({ std::to_string(revision) }, revision);
        history.trim(10);
        EXPECT_FALSE(history.reachesBackTo(89));
        EXPECT_TRUE(history.reachesBackTo(90));
        EXPECT_EQ(history.changedAfter(90).size(), 10U);
    }

    // Guards against a difference that lacks some of the changes that were told at one revision.
    TEST(RosterHistoryTest, ForgetsChangesOfOneRevisionTogether)
    {
        RosterHistory history;
        history.begin(1);
        for (int i = 0; i < 20; ++i)
            history.note({ std::to_string(i) }, 5);
        history.trim(10);
        EXPECT_FALSE(history.reachesBackTo(4));
        EXPECT_TRUE(history.changedAfter(5).empty());
        EXPECT_TRUE(history.reachesBackTo(5));
    }

    TEST(RosterHistoryTest, OrdersErasBeforeNumbers)
    {
        RosterHistory history;
        history.begin({ 1, 100 });
        EXPECT_TRUE(history.note(a, { 2, 50 }));
        EXPECT_FALSE(history.note(a, { 1, 120 }));
        EXPECT_EQ(history.changedAfter({ 1, 110 }), std::vector<EndpointName> { a });
    }

}
}
