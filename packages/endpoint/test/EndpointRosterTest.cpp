#include "whinyard/endpoint/EndpointRoster.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    backing::ListedEndpoint listed(const std::string& name, bool leaving = false)
    {
        backing::ListedEndpoint endpoint;
        endpoint.name.value = name;
        endpoint.leaving = leaving;
        return endpoint;
    }

    class EndpointRosterTest : public ::testing::Test {
    protected:
        EndpointRosterTest()
        {
            m_roster.replace({ listed("a"), listed("b"), listed("c", true) }, m_clock.now());
            m_roster.settle(m_clock.now());
        }

        bool has(const std::string& name)
        {
            m_roster.settle(m_clock.now());
            for (const backing::ListedEndpoint& endpoint : m_roster.list()) {
                if (endpoint.name.value == name)
                    return true;
            }
            return false;
        }

        FakeClock m_clock;
        EndpointRoster m_roster;
    };

    // What a change costs doesn't grow with the list.
    TEST_F(EndpointRosterTest, TellsOnlyWhatHasChanged)
    {
        std::vector<backing::ListedEndpoint> listed;
        for (int i = 0; i < 1'000; ++i) {
            backing::ListedEndpoint endpoint;
            endpoint.name.value = "i-" + std::to_string(i);
            listed.push_back(endpoint);
        }
        EndpointRoster roster;
        roster.replaceByTold(listed);
        EXPECT_EQ(roster.takeChanges().changed.size(), 1'000U);
        roster.replaceByTold(listed);
        EXPECT_TRUE(roster.takeChanges().changed.empty()) << "the same list again";
        listed[7].leaving = true;
        roster.putByTold(listed[7]);
        roster.removeByTold(listed[8].name);
        const RosterChanges changes = roster.takeChanges();
        ASSERT_EQ(changes.changed.size(), 1U);
        EXPECT_TRUE(changes.changed[0].leaving);
        EXPECT_EQ(changes.gone, (std::vector<EndpointName> { listed[8].name }));
        roster.giveBack(changes);
        EXPECT_TRUE(roster.settle(m_clock.now())) << "they were not taken";
        EXPECT_EQ(roster.takeChanges().gone, changes.gone);
        EXPECT_TRUE(roster.takeChanges().gone.empty());
    }

    TEST_F(EndpointRosterTest, DropsAnEntryThatVanishesAtOnce)
    {
        m_roster.remove({ "a" }, m_clock.now());
        EXPECT_FALSE(has("a"));
        EXPECT_TRUE(has("b"));
    }

    TEST_F(EndpointRosterTest, SaysWhetherItHoldsNoMoreThanTheStore)
    {
        EXPECT_TRUE(m_roster.isSettled(m_clock.now()));
        m_roster.storeFailed();
        EXPECT_FALSE(m_roster.isSettled(m_clock.now()));
        m_clock.advance(8s);
        m_roster.storeAnswered(m_clock.now());
        m_roster.replace({ listed("b") }, m_clock.now());
        EXPECT_TRUE(has("a")) << "it may come back";
        EXPECT_FALSE(m_roster.isSettled(m_clock.now())) << "or it left while the store turned this instance alone away";
        m_clock.advance(3s);
        EXPECT_FALSE(has("a"));
        EXPECT_TRUE(m_roster.isSettled(m_clock.now()));
    }

    // A follower told its list after the span of an outage had passed and up to 92 ms before it dropped what had not returned: 47
    // endpoints that had left were used by others for 0.3 s, one of them 3.7 s after it had said that it leaves.
    TEST_F(EndpointRosterTest, IsNotSettledBeforeItHasDroppedWhatDidNotReturn)
    {
        m_roster.storeFailed();
        m_clock.advance(4s);
        m_roster.storeAnswered(m_clock.now());
        m_roster.replace({ listed("b") }, m_clock.now());
        m_clock.advance(RosterSettings().returnWithin);
        EXPECT_FALSE(m_roster.isSettled(m_clock.now())) << "it lists what the store doesn't";
        m_roster.settle(m_clock.now());
        EXPECT_TRUE(m_roster.isSettled(m_clock.now()));
    }

    // An instance that the store had turned away heard from a follower that an endpoint was gone, and used it for 2.2 s more:
    // it kept what its own outage might have hidden, though the follower had known better all the while.
    TEST_F(EndpointRosterTest, DropsAtOnceWhatAnotherInstanceSaysIsGone)
    {
        m_roster.storeFailed();
        m_clock.advance(4s);
        m_roster.storeAnswered(m_clock.now());
        m_roster.removeByTold({ "a" });
        EXPECT_FALSE(has("a"));
        m_roster.replaceByTold({ listed("d") });
        EXPECT_FALSE(has("b"));
        EXPECT_TRUE(has("d"));
    }

    TEST_F(EndpointRosterTest, KeepsEntriesThatLapsedWhileTheStoreWasAway)
    {
        m_roster.storeFailed();
        m_clock.advance(4s);
        m_roster.storeAnswered(m_clock.now());
        m_roster.replace({ listed("b") }, m_clock.now());
        EXPECT_TRUE(has("a"));
        EXPECT_FALSE(has("c")) << "it was leaving already";
        m_clock.advance(1s);
        m_roster.put(listed("a"));
        m_clock.advance(5s);
        EXPECT_TRUE(has("a"));
    }

    TEST_F(EndpointRosterTest, DropsWhatDoesNotReturnWithTheStore)
    {
        m_roster.storeFailed();
        m_clock.advance(4s);
        m_roster.storeAnswered(m_clock.now());
        m_clock.advance(500ms);
        m_roster.remove({ "a" }, m_clock.now());
        EXPECT_TRUE(has("a"));
        m_clock.advance(1'800ms);
        EXPECT_FALSE(has("a"));
        m_roster.remove({ "b" }, m_clock.now());
        EXPECT_FALSE(has("b")) << "the store has been back for long enough";
    }

    TEST_F(EndpointRosterTest, TellsOnlyOfRealChanges)
    {
        m_roster.put(listed("a"));
        EXPECT_FALSE(m_roster.settle(m_clock.now()));
        m_roster.put(listed("a", true));
        EXPECT_TRUE(m_roster.settle(m_clock.now()));
        EXPECT_FALSE(m_roster.settle(m_clock.now()));
    }

    backing::ListedEndpoint coldEndpoint(std::chrono::milliseconds left)
    {
        backing::ListedEndpoint endpoint = listed("new");
        endpoint.coldLeft = left;
        return endpoint;
    }

    // An endpoint says a shorter time with each heartbeat. Told as changes they were one notice a second for each cold endpoint.
    TEST_F(EndpointRosterTest, TellsOnceThatAnEndpointIsColdAndOnceThatItIsWarm)
    {
        m_roster.put(coldEndpoint(3'000ms));
        EXPECT_TRUE(m_roster.settle(m_clock.now()));
        m_roster.put(coldEndpoint(1'800ms));
        m_roster.put(coldEndpoint(600ms));
        EXPECT_FALSE(m_roster.settle(m_clock.now()));
        EXPECT_EQ(m_roster.list().back().coldLeft, 3'000ms);
        m_roster.put(coldEndpoint(0ms));
        EXPECT_TRUE(m_roster.settle(m_clock.now()));
    }

    TEST_F(EndpointRosterTest, TellsThatAnEndpointIsColdAgain)
    {
        m_roster.put(coldEndpoint(3'000ms));
        m_roster.put(coldEndpoint(900ms));
        m_roster.settle(m_clock.now());
        m_roster.put(coldEndpoint(2'900ms));
        EXPECT_TRUE(m_roster.settle(m_clock.now()));
        EXPECT_EQ(m_roster.list().back().coldLeft, 2'900ms);
    }

    // Guards against an endpoint that is cold again, and counts as warm at instances that only hear of it.
    TEST_F(EndpointRosterTest, TellsThatAnEndpointIsColdAgainForAsLongOrShorter)
    {
        for (const auto again : { 3'000ms, 2'900ms, 1'000ms }) {
            EndpointRoster follower;
            EndpointRoster told;
            follower.put(coldEndpoint(3'000ms));
            EXPECT_TRUE(follower.settle(m_clock.now()));
            told.putByTold(follower.list().back());
            told.settle(m_clock.now());
            const std::chrono::milliseconds first = told.list().back().coldLeft;
            follower.put(coldEndpoint(900ms));
            EXPECT_FALSE(follower.settle(m_clock.now()));
            follower.put(coldEndpoint(again));
            EXPECT_TRUE(follower.settle(m_clock.now())) << again.count();
            told.putByTold(follower.list().back());
            EXPECT_TRUE(told.settle(m_clock.now())) << again.count();
            EXPECT_NE(told.list().back().coldLeft, first) << "a change is what makes it cold anew for choices";
            EXPECT_GE(told.list().back().coldLeft, again);
        }
    }

    // Guards against losing endpoints whose entries the copy lacks, which they write again within seconds.
    TEST_F(EndpointRosterTest, KeepsForAMomentWhatAnOlderCopyLacks)
    {
        m_roster.replaceByCopy({ listed("a") }, m_clock.now());
        EXPECT_TRUE(has("b"));
        EXPECT_TRUE(m_roster.isSettled(m_clock.now())) << "what the list holds may be told";
        m_clock.advance(2s);
        m_roster.put(listed("b"));
        m_clock.advance(300ms);
        EXPECT_TRUE(has("b"));
        EXPECT_FALSE(has("c")) << "nobody wrote it again";
    }

    // Guards against sending to an endpoint that leaves, or has left, since the copy was made.
    TEST_F(EndpointRosterTest, LeavesOutWhatHasLeftSinceAnOlderCopy)
    {
        m_roster.remove({ "a" }, m_clock.now());
        m_roster.removeByTold({ "b" });
        m_roster.replaceByCopy({ listed("a"), listed("b"), listed("c") }, m_clock.now());
        EXPECT_FALSE(has("a"));
        EXPECT_FALSE(has("b"));
        EXPECT_TRUE(m_roster.find({ "c" })->leaving);
        m_roster.replace({ listed("a"), listed("b"), listed("c", true) }, m_clock.now());
        EXPECT_FALSE(has("a")) << "a further read shows the same entry";
        m_roster.put(listed("a"));
        EXPECT_TRUE(has("a")) << "it was written since";
        m_clock.advance(15s);
        EXPECT_TRUE(has("b")) << "the store holds it still";
    }

}
}
