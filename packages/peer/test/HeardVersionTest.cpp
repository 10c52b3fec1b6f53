#include "whinyard/peer/HeardVersion.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    TEST(HeardVersionTest, FindsAnInstanceBehindAfterAMoment)
    {
        FakeClock clock;
        HeardVersion heard;
        EXPECT_FALSE(heard.isBehind(0, clock.now())) << "nothing was heard";
        heard.hear(8, clock.now());
        EXPECT_FALSE(heard.isBehind(4, clock.now())) << "the store's own word may be on its way";
        clock.advance(300ms);
        EXPECT_FALSE(heard.isBehind(8, clock.now()));
        EXPECT_TRUE(heard.isBehind(4, clock.now()));
        EXPECT_FALSE(heard.isBehind(4, clock.now())) << "the read that this brought takes a moment";
        heard.hear(7, clock.now());
        clock.advance(300ms);
        EXPECT_TRUE(heard.isBehind(4, clock.now())) << "and may have failed";
        EXPECT_FALSE(heard.isBehind(9, clock.now()));
    }

}
}
