#include "whinyard/leadership/UsageWindows.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <string>

namespace whinyard::leadership {
namespace {

    using namespace std::chrono_literals;

    constexpr auto length = 5s;
    const CustomerName school { "school" };
    const CustomerName town { "town" };

    WallTime at(std::chrono::milliseconds time) { return WallTime(1'000'000s + time); }

    TEST(UsageWindowsTest, NumbersWindowsFromTheStartOfTheEpoch)
    {
        EXPECT_EQ(windowAt(WallTime(0s), length), 0U);
        EXPECT_EQ(windowAt(WallTime(4'999ms), length), 0U);
        EXPECT_EQ(windowAt(WallTime(5s), length), 1U);
        EXPECT_EQ(endOf(1, length), WallTime(10s));
    }

    TEST(UsageCounterTest, TellsEachStateOfAWindowAFewTimes)
    {
        UsageCounter counter(length, 10s);
        counter.note(school, at(0s));
        counter.note(school, at(1s));
        counter.note(town, at(6s));
        std::size_t tellings = 0;
        while (!counter.takeNews(at(6s)).empty())
            ++tellings;
        EXPECT_EQ(tellings, 4U);
        EXPECT_EQ(counter.takeNews(at(6s)).size(), 2U) << "once more, for whoever was cut off";
        EXPECT_TRUE(counter.takeNews(at(6s)).empty());
        counter.note(school, at(6s));
        const std::vector<UsageWindow> news = counter.takeNews(at(6s));
        ASSERT_EQ(news.size(), 1U);
        EXPECT_EQ(news[0].counts, (CustomerCounts { { school, 1 }, { town, 1 } }));
        counter.tellAgain();
        EXPECT_EQ(counter.takeNews(at(7s)).size(), 2U);
        EXPECT_EQ(counter.takeNews(at(16s)).size(), 1U) << "the first window is forgotten";
    }

    // A fifth of the notices is lost, others come twice or late, and instances restart.
    TEST(UsageTotalsTest, AddsUpAThousandInstancesWhateverHappensToTheirNotices)
    {
        Random random(7);
        for (const int instances : { 4, 60, 985 }) {
            UsageTotals totals;
            std::uint64_t counted = 0;
            std::vector<std::pair<int, UsageWindow>> late;
            for (int instance = 0; instance < instances; ++instance) {
                const std::uint64_t lives = 1 + below(random, 2);
                for (std::uint64_t life = 0; life < lives; ++life) {
                    UsageCounter counter(length, 10s);
                    const std::uint64_t requests = 1 + below(random, 20);
                    counted += requests;
                    for (std::uint64_t i = 0; i < requests; ++i)
                        counter.note(school, at(std::chrono::milliseconds(below(random, 4'999))));
                    for (const UsageWindow& news : counter.takeNews(at(5s)))
                        late.push_back({ instance * 2 + static_cast<int>(life), news });
                    for (int telling = 0; telling < 12; ++telling) {
                        for (const UsageWindow& news : counter.takeNews(at(5s))) {
                            if (uniform(random) > 0.2)
                                totals.take({ std::to_string(instance) }, life, news);
                        }
                        counter.tellAgain();
                    }
                }
            }
            for (const auto& [source, news] : late)
                totals.take({ std::to_string(source / 2) }, static_cast<std::uint64_t>(source % 2), news);
            const WindowNumber window = windowAt(at(0s), length);
            EXPECT_EQ(totals.total(window).counts[school], counted) << instances;
            totals.forgetBefore(window + 1);
            EXPECT_TRUE(totals.total(window).counts.empty());
        }
    }

}
}
