#include "whinyard/endpoint/EventFramer.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    TEST(EventFramerTest, PassesOnWholeEventsOnly)
    {
        EventFramer framer;
        const FramedEvents first = framer.feed("id: 1\ndata: a\n\nid: 2\nda");
        EXPECT_EQ(first.bytes, "id: 1\ndata: a\n\n");
        EXPECT_EQ(first.count, 1U);
        EXPECT_EQ(first.lastId, 1U);
        EXPECT_FALSE(framer.isWhole());
        const FramedEvents second = framer.feed("ta: b\n\n");
        EXPECT_EQ(second.bytes, "id: 2\ndata: b\n\n");
        EXPECT_EQ(second.lastId, 2U);
        EXPECT_TRUE(framer.isWhole());
    }

    TEST(EventFramerTest, KeepsBytesThatAreCutAtEveryPlace)
    {
        const std::string stream = "x-note: 3\nid: 7\r\ndata: a\r\n\r\nid:8\ndata: b\ndata: c\n\n";
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            EventFramer framer;
            std::string bytes = framer.feed(stream.substr(0, cut)).bytes;
            bytes += framer.feed(stream.substr(cut)).bytes;
            EXPECT_EQ(bytes, stream) << "cut at " << cut;
        }
    }

    TEST(EventFramerTest, NoticesEventsOutOfOrder)
    {
        EventFramer framer(4);
        const FramedEvents events = framer.feed("id: 5\ndata: a\n\nid: 5\ndata: b\n\n");
        EXPECT_EQ(events.bytes, "id: 5\ndata: a\n\n");
        EXPECT_TRUE(events.outOfOrder);
        EXPECT_TRUE(EventFramer(4).feed("id: 3\ndata: a\n\n").outOfOrder);
    }

    TEST(EventFramerTest, TakesAnIdentityThatIsNoNumberForNone)
    {
        EXPECT_FALSE(EventFramer().feed("id: x1\ndata: a\n\n").lastId);
        EXPECT_FALSE(EventFramer().feed("data: id: 5\n\n").lastId);
    }

    // Guards against a stream without the end of an event, which filled the memory and was looked through from its begin with each piece.
    TEST(EventFramerTest, TellsWhereAnEventNeverEnds)
    {
        EventFramer framer;
        const std::string piece(8 * 1024, 'x');
        std::size_t fed = 0;
        while (!framer.isOverLimit() && fed < 10 * EventFramer::largestEvent) {
            EXPECT_EQ(framer.feed(piece).count, 0U);
            fed += piece.size();
        }
        EXPECT_TRUE(framer.isOverLimit());
        EXPECT_LE(fed, EventFramer::largestEvent + piece.size());
    }

}
}
