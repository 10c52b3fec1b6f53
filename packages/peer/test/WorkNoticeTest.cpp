#include "whinyard/peer/WorkNotice.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    TEST(WorkNoticeTest, ReadsWhatItWrites)
    {
        const std::vector<WorkNotice> notices { { { "i-1" }, 350ms }, { { "i-2" }, 0us } };
        EXPECT_EQ(decodeNotices(encodeNotices(notices)), notices);
        EXPECT_EQ(decodeNotices(encodeNotices({})), std::vector<WorkNotice> {});
    }

    TEST(WorkNoticeTest, RefusesEveryOtherText)
    {
        const std::string good = encodeNotices({ { { "i-1" }, 350ms }, { { "i-2" }, 1ms } });
        EXPECT_FALSE(decodeNotices(""));
        EXPECT_FALSE(decodeNotices(good + "x"));
        for (std::size_t size = 0; size < good.size(); ++size)
            EXPECT_FALSE(decodeNotices(good.substr(0, size))) << size;
        EXPECT_FALSE(decodeNotices(encodeNotices({ { { "i-1" }, -1us } })));
        EXPECT_FALSE(decodeNotices(encodeNotices(std::vector<WorkNotice>(mostNotices + 1, { { "i-1" }, 1us }))));
    }

    TEST(WorkNoticeTest, BearsAnyChangedByte)
    {
        const std::string good = encodeNotices({ { { "i-1" }, 350ms }, { { "i-22" }, 1ms } });
        Random random(5);
        for (int i = 0; i < 20'000; ++i) {
            std::string bytes = good;
            for (int change = 0; change < 3; ++change)
                bytes[below(random, bytes.size())] = static_cast<char>(random());
            decodeNotices(bytes);
        }
    }

}
}
