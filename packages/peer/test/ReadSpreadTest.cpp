#include "whinyard/peer/ReadSpread.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace whinyard::peer {
namespace {

    TEST(ReadSpreadTest, AnswersAFewAtATimeAndSendsTheOthersOn)
    {
        ReadSpread spread({ .atOnce = 2 });
        EXPECT_TRUE(spread.take({ "a" }, 7).isAnswered);
        EXPECT_TRUE(spread.take({ "b" }, 7).isAnswered);
        const ReadTurn early = spread.take({ "c" }, 7);
        EXPECT_FALSE(early.isAnswered);
        EXPECT_FALSE(early.sentTo) << "nobody has it yet";
        spread.noteAnswered({ "a" }, 7);
        EXPECT_TRUE(spread.take({ "c" }, 7).isAnswered);
        EXPECT_EQ(spread.take({ "d" }, 7).sentTo, InstanceName { "a" });
        EXPECT_FALSE(spread.take({ "a" }, 7).sentTo) << "nobody is sent to itself";
    }

    TEST(ReadSpreadTest, SendsNobodyToWhatIsOutdated)
    {
        ReadSpread spread({ .atOnce = 1 });
        EXPECT_TRUE(spread.take({ "a" }, 7).isAnswered);
        spread.noteAnswered({ "a" }, 7);
        EXPECT_TRUE(spread.take({ "b" }, 8).isAnswered);
        EXPECT_FALSE(spread.take({ "c" }, 8).sentTo) << "a has an older one";
        spread.noteAnswered({ "b" }, 8);
        EXPECT_TRUE(spread.take({ "c" }, 8).isAnswered);
        EXPECT_EQ(spread.take({ "d" }, 8).sentTo, InstanceName { "b" });
    }

    // 300 instances that read 60 kB at once over links of 10 Mbit/s: an answer takes a link 50 ms alone. From two followers
    // the last one would wait for 7.5 s.
    TEST(ReadSpreadTest, ServesHundredsSoonOverSmallLinks)
    {
        constexpr int instances = 300;
        constexpr int stepsOfAnswer = 5; // Of 10 ms, when a link carries it alone.
        std::vector<ReadSpread> spreads(instances);
        std::vector<double> left(instances, -1); // Of the answer that is under way to each, in steps of a link.
        std::vector<int> server(instances, -1);
        std::vector<bool> has(instances, false);
        has[0] = has[1] = true;
        Random random(3);
        int step = 0;
        int served = 2;
        for (; served < instances && step < 1'000; ++step) {
            std::map<int, int> load;
            for (int one = 0; one < instances; ++one) {
                if (server[one] >= 0)
                    ++load[server[one]];
            }
            for (int one = 0; one < instances; ++one) {
                if (server[one] < 0)
                    continue;
                left[one] -= 1.0 / load[server[one]];
                if (left[one] > 0)
                    continue;
                spreads[server[one]].noteAnswered({ std::to_string(one) }, 1);
                server[one] = -1;
                has[one] = true;
                ++served;
            }
            for (int one = 0; one < instances; ++one) {
                if (has[one] || server[one] >= 0 || below(random, 10) > 0) // One that was refused comes back after 100 ms.
                    continue;
                int asked = static_cast<int>(below(random, 2));
                for (int hop = 0; hop < 4 && server[one] < 0; ++hop) {
                    if (!has[asked])
                        break;
                    const ReadTurn turn = spreads[asked].take({ std::to_string(one) }, 1);
                    if (turn.isAnswered) {
                        server[one] = asked;
                        left[one] = stepsOfAnswer;
                    } else if (turn.sentTo)
                        asked = std::stoi(turn.sentTo->value);
                    else
                        break;
                }
            }
        }
        EXPECT_EQ(served, instances);
        EXPECT_LE(step, 150) << "1.5 s";
    }

}
}
