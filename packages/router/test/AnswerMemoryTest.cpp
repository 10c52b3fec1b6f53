// Which answers are given up where those under way exceed their bound.
#include "internal/AnswerMemory.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace whinyard::router {
namespace {

    constexpr std::size_t megabyte = 1024 * 1024;
    constexpr std::size_t limit = 10 * megabyte;

    class AnswerMemoryTest : public ::testing::Test {
    protected:
        AnswerMemory::Share& add()
        {
            const std::size_t number = m_shares.size();
            m_shares.push_back(std::make_unique<AnswerMemory::Share>(m_memory, [this, number] { m_ended.push_back(number); }));
            return *m_shares.back();
        }

        AnswerMemory m_memory { limit };
        std::vector<std::unique_ptr<AnswerMemory::Share>> m_shares;
        std::vector<std::size_t> m_ended; // Numbers of those whose reading was ended.
    };

    // Guards against memory that grows with the number of answers, each of which is within its own bound.
    TEST_F(AnswerMemoryTest, NeverHoldsMoreThanItsLimit)
    {
        for (int i = 0; i < 40; ++i) {
            AnswerMemory::Share& share = add();
            for (std::size_t bytes = megabyte; bytes <= 8 * megabyte && share.resize(bytes); bytes += megabyte)
                EXPECT_LE(m_memory.bytes(), limit);
        }
        EXPECT_GT(m_memory.givenUp(), 30U);
        m_shares.clear();
        EXPECT_EQ(m_memory.bytes(), 0U);
    }

    // Guards against sound answers that are given up for those without end.
    TEST_F(AnswerMemoryTest, GivesTheLargestUp)
    {
        AnswerMemory::Share& largest = add();
        AnswerMemory::Share& other = add();
        EXPECT_TRUE(largest.resize(6 * megabyte));
        EXPECT_TRUE(other.resize(4 * megabyte));
        EXPECT_TRUE(other.resize(5 * megabyte));
        EXPECT_EQ(m_ended, std::vector<std::size_t> { 0 });
        EXPECT_FALSE(largest.resize(6 * megabyte)) << "what was given up stays so";
        EXPECT_EQ(m_memory.bytes(), 5 * megabyte);
    }

    TEST_F(AnswerMemoryTest, GivesTheOneUpThatGrowsWhereItIsTheLargest)
    {
        EXPECT_TRUE(add().resize(4 * megabyte));
        EXPECT_FALSE(add().resize(7 * megabyte));
        EXPECT_TRUE(m_ended.empty()) << "its own fiber ends it";
        EXPECT_EQ(m_memory.givenUp(), 1U);
    }

    // Guards against complete answers that are lost, and against instances that serve nobody while slow callers take them.
    TEST_F(AnswerMemoryTest, KeepsCompleteAndSmallAnswers)
    {
        AnswerMemory::Share& slow = add();
        EXPECT_TRUE(slow.resize(limit));
        slow.complete();
        EXPECT_TRUE(add().resize(AnswerMemory::smallAnswer));
        EXPECT_FALSE(add().resize(AnswerMemory::smallAnswer + 1));
        EXPECT_TRUE(m_ended.empty());
    }

    TEST_F(AnswerMemoryTest, HasNoLimitWhereNoneIsKnown)
    {
        AnswerMemory unlimited(0);
        AnswerMemory::Share share(unlimited, nullptr);
        EXPECT_TRUE(share.resize(1'000 * megabyte));
    }

}
}
