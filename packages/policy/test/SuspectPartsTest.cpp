#include "whinyard/policy/SuspectParts.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    const PartDigest deadly { 1 };
    const PartDigest common { 2 }; // Of all prompts.
    const PartDigest companion { 3 };
    const ServiceName service { "lm" };

    class SuspectPartsTest : public ::testing::Test {
    protected:
        // A process ends with a new request that was sent `sentAgo`.
        void lose(std::vector<PartDigest> parts, std::uint64_t life, milliseconds sentAgo = 100ms, LossStage stage = LossStage::begun)
        {
            loseAgain(++m_request, std::move(parts), life, sentAgo, stage);
        }

        void loseAgain(std::uint64_t request, std::vector<PartDigest> parts, std::uint64_t life, milliseconds sentAgo = 100ms, LossStage stage = LossStage::begun)
        {
            RequestDigest digest;
            digest.bytes.back() = static_cast<std::uint8_t>(request);
            m_parts.addLoss({ digest, { life }, stage, std::move(parts), sentAgo }, service, m_now);
        }

        // Three processes end one after the other.
        void loseThree(const std::vector<PartDigest>& parts)
        {
            for (int i = 0; i < 3; ++i) {
                lose(parts, ++m_life);
                m_now += 200ms;
            }
        }

        // Returns what is found within the time for other explanations.
        std::optional<PartDigest> find(milliseconds within = 600ms)
        {
            for (const SteadyTime end = m_now + within; m_now <= end; m_now += 50ms) {
                if (const auto found = m_parts.find(m_now)) {
                    m_parts.explain(found->lives, false);
                    return found->part;
                }
            }
            return std::nullopt;
        }

        SuspectParts m_parts;
        SteadyTime m_now { 1h };
        std::uint64_t m_life = 100;
        std::uint64_t m_request = 0;
    };

    // Guards against requests with a part in common that are known one by one.
    TEST_F(SuspectPartsTest, FindsThePartThatDifferentRequestsWereLostWith)
    {
        loseThree({ deadly });
        EXPECT_EQ(find(), deadly);
    }

    // Guards against a sound part that is taken for a single request that ends endpoints.
    TEST_F(SuspectPartsTest, LeavesASingleRequestToItsOwnVerdict)
    {
        for (std::uint64_t life = 1; life <= 4; ++life, m_now += 200ms)
            loseAgain(1, { deadly }, life);
        EXPECT_EQ(find(), std::nullopt);
    }

    // Guards against a wave of ends that condemns what happened to be asked most.
    TEST_F(SuspectPartsTest, FindsNothingInASingleWave)
    {
        for (std::uint64_t life = 1; life <= 8; ++life)
            lose({ common, companion }, life, 2s);
        EXPECT_EQ(find(2s), std::nullopt);
    }

    // Guards against the refusal of a part that all prompts share.
    TEST_F(SuspectPartsTest, SparesAPartOfWhichAnAnswerWentOn)
    {
        for (int i = 0; i < 4; ++i) {
            lose({ common, deadly }, ++m_life);
            m_now += 100ms;
            m_parts.noteSound(common, m_now, m_now + 500ms);
        }
        EXPECT_EQ(find(), deadly);
        EXPECT_EQ(find(2s), std::nullopt);
    }

    // Guards against a sound part that is blamed for what another one has ended beside it.
    TEST_F(SuspectPartsTest, HoldsWhatOnePartExplainsAgainstNoOther)
    {
        lose({ deadly }, 1);
        lose({ companion }, 1);
        m_now += 200ms;
        lose({ deadly }, 2);
        lose({ companion }, 2);
        m_now += 200ms;
        lose({ deadly }, 3);
        lose({ companion }, 3);
        m_now += 200ms;
        lose({ deadly }, 4);
        EXPECT_EQ(find(), deadly);
        m_now += 200ms;
        lose({ companion }, 5);
        EXPECT_EQ(find(), std::nullopt) << "one loss that nothing explains";
    }

    // Guards against a deadly part that stays unknown where another one always came with it.
    TEST_F(SuspectPartsTest, FindsTheOtherOfTwoPartsWithOneMoreLoss)
    {
        loseThree({ deadly, companion });
        EXPECT_EQ(find(), companion) << "the one that fewer requests share";
        lose({ deadly }, ++m_life);
        EXPECT_EQ(find(), deadly);
    }

    TEST_F(SuspectPartsTest, ClearsTheOtherOfTwoPartsByASoundAnswer)
    {
        loseThree({ companion, deadly });
        EXPECT_EQ(find(), deadly);
        m_parts.noteSound(companion, m_now, m_now + 500ms);
        m_now += 1s;
        lose({ companion }, ++m_life);
        EXPECT_EQ(find(2s), std::nullopt);
    }

    TEST_F(SuspectPartsTest, TellsTwoDeadlyPartsApart)
    {
        const PartDigest second { 4 };
        for (int i = 0; i < 4; ++i) {
            lose({ common, deadly }, ++m_life);
            m_now += 100ms;
            lose({ common, second }, ++m_life);
            m_now += 100ms;
        }
        m_parts.noteSound(common, m_now, m_now + 500ms);
        const auto first = find();
        const auto other = find();
        ASSERT_TRUE(first && other);
        EXPECT_EQ(std::min(*first, *other), deadly);
        EXPECT_EQ(std::max(*first, *other), second);
    }

    // Guards against a part that turns deadly, by a new version perhaps, and is excused by what it was before.
    TEST_F(SuspectPartsTest, FindsAPartThatWasSoundBefore)
    {
        m_parts.noteSound(deadly, m_now - 2s, m_now - 1s);
        loseThree({ deadly });
        EXPECT_EQ(find(), std::nullopt);
        for (int i = 0; i < 2; ++i, m_now += 200ms)
            lose({ deadly }, ++m_life);
        EXPECT_EQ(find(), deadly);
    }

    // Guards against the refusal of a part that is lost now and then where many processes end at all times.
    TEST_F(SuspectPartsTest, NeedsMoreLossesWhereMuchElseEnds)
    {
        for (std::uint64_t life = 1; life <= 24; ++life, m_now += 100ms) {
            lose({}, 1'000 + life);
            if (life % 6 == 0)
                lose({ companion }, 1'000 + life);
        }
        EXPECT_EQ(find(), std::nullopt);
    }

    TEST_F(SuspectPartsTest, HoldsAPartThatTwoRequestsWereLostWith)
    {
        lose({ deadly }, 1);
        EXPECT_FALSE(m_parts.isHeld(deadly, m_now));
        lose({ deadly }, 2);
        EXPECT_TRUE(m_parts.isHeld(deadly, m_now));
        EXPECT_FALSE(m_parts.isHeld(deadly, m_now + 301ms)) << "one request more is to tell";
        m_parts.noteSound(deadly, m_now, m_now + 500ms);
        EXPECT_FALSE(m_parts.isHeld(deadly, m_now));
    }

    // Guards against holding back what is known to be sound, as all of a site share a part.
    TEST_F(SuspectPartsTest, HoldsNothingThatWasSoundBefore)
    {
        m_parts.noteSound(common, m_now - 2s, m_now - 1s);
        lose({ common }, 1);
        lose({ common }, 2);
        EXPECT_FALSE(m_parts.isHeld(common, m_now));
    }

    TEST_F(SuspectPartsTest, TellsOfASoundPartThatOthersMaySuspect)
    {
        std::vector<SoundPart> news;
        lose({ common }, 1);
        m_parts.noteSound(common, m_now, m_now);
        m_parts.takeNews(news, 10, m_now + 5s);
        EXPECT_TRUE(news.empty()) << "one loss makes nobody suspect it";
        lose({ common }, 2);
        lose({ common }, 3);
        m_parts.takeNews(news, 10, m_now + 5s);
        ASSERT_EQ(news.size(), 1U);
        EXPECT_EQ(news.front(), (SoundPart { common, 5s }));
    }

    // Guards against notices that grow with the square of the number of instances.
    TEST_F(SuspectPartsTest, TellsNothingThatAnotherInstanceHasTold)
    {
        m_parts.useInstances(1'000, 7);
        lose({ common }, 1);
        lose({ common }, 2);
        m_parts.noteSound(common, m_now, m_now);
        m_parts.takeSound(common, m_now, m_now);
        m_parts.takeSound(common, m_now, m_now);
        std::vector<SoundPart> news;
        m_parts.takeNews(news, 10, m_now + 1min);
        EXPECT_TRUE(news.empty());
    }

    TEST_F(SuspectPartsTest, KeepsItsBounds)
    {
        SuspectParts small({ .mostSuspects = 3, .mostSound = 3 });
        for (std::uint64_t part = 1; part <= 100; ++part) {
            small.addLoss({ {}, { part }, LossStage::begun, { { part } }, 10ms }, service, m_now);
            small.noteSound({ 1'000 + part }, m_now, m_now);
        }
        EXPECT_LE(small.suspects(), 3U);
        EXPECT_FALSE(small.isSoundSince({ 1'001 }, m_now));
        EXPECT_TRUE(small.isSoundSince({ 1'100 }, m_now));
    }

}
}
