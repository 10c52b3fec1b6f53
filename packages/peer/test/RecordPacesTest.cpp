#include "whinyard/peer/RecordPaces.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    class RecordPacesTest : public ::testing::TestWithParam<std::chrono::milliseconds> { };

    INSTANTIATE_TEST_SUITE_P(Sites, RecordPacesTest, ::testing::Values(2'000ms, 3'000ms, 4'000ms));

    // Four thousand routes are 58 KB as instances hand them on, 50 ms of a 10 Mbit/s link, and were taken in within 250 ms of
    // the first instance's telling by the last of eighty.
    TEST_P(RecordPacesTest, LeavesTimeToReadTheRecordsWhereAWatchAndAnInstanceAreSilent)
    {
        EXPECT_GE(GetParam() - recordPacesFor(GetParam()).worstWait(), 300ms);
    }

}
}
