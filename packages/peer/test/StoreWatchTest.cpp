#include "whinyard/peer/StoreWatch.h"

#include "whinyard/backing/FakeStore.h"
#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    class FakeKeeper final : public ConfigurationKeeper {
    public:
        bool takeStoreCall() override { return m_isDue; }
        void storeAnswered(SteadyTime, ReadConfiguration read) override { m_revisions.push_back(read.configuration->revision); }
        void storeUnchanged(SteadyTime, std::uint64_t revision) override { m_unchanged.push_back(revision); }
        void storeFailed() override { ++m_failures; }

        bool m_isDue = true;
        std::vector<std::uint64_t> m_revisions;
        std::vector<std::uint64_t> m_unchanged;
        int m_failures = 0;
    };

    class StoreWatchTest : public testing::Test {
    protected:
        void write(std::uint64_t revision)
        {
            const auto record = m_store.memory().read(configurationKey);
            Failure failure;
            config::Configuration configuration;
            configuration.revision = revision;
            ASSERT_TRUE(m_store.swap({ configurationKey, config::toRecord(configuration), record ? record->revision : 0, {} }, failure)) << failure.reason;
        }

        FakeClock m_clock;
        backing::FakeStore m_store { m_clock };
        FakeKeeper m_keeper;
        StoreWatch m_watch { m_store, m_keeper, m_clock };
        Failure m_failure;
    };

    TEST_F(StoreWatchTest, HandsOnEachChangeOnceAndThatNothingChanged)
    {
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::reached) << "no record is an answer, too";
        write(1);
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::reached);
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::reached);
        write(2);
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::reached);
        EXPECT_EQ(m_keeper.m_revisions, (std::vector<std::uint64_t> { 1, 2 }));
        EXPECT_EQ(m_keeper.m_unchanged, (std::vector<std::uint64_t> { 0, 1 }));
        m_keeper.m_isDue = false;
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::idle);
    }

    TEST_F(StoreWatchTest, TakesNeitherAnOutageNorACorruptRecordForAProof)
    {
        write(1);
        m_store.setDown(true);
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::failed);
        m_store.setDown(false);
        m_store.corrupt(configurationKey);
        EXPECT_EQ(m_watch.turn(0ms, m_failure), StoreWatch::Turn::failed);
        EXPECT_EQ(m_failure.kind, ErrorKind::corruptRecord);
        EXPECT_NE(m_failure.reason.find(configurationKey), std::string::npos) << m_failure.reason;
        EXPECT_EQ(m_keeper.m_failures, 2);
        EXPECT_TRUE(m_keeper.m_revisions.empty());
    }

}
}
