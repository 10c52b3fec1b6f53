// How the directory's list and its settings bear on the speeds of engines that instances learn together.
#include "whinyard/endpoint/EndpointDirectory.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    class DirectoryPacesTest : public testing::Test {
    protected:
        static policy::WaitSelectorSettings sharing()
        {
            policy::WaitSelectorSettings settings;
            settings.sharesPaces = true;
            return settings;
        }

        static backing::ListedEndpoint engine(const std::string& name, std::uint64_t born = 0)
        {
            return { .name = { name }, .kind = backing::ListedKind::engine, .address = { "127.0.0.1", 1 }, .zone = { "a" }, .versions = { { "v1" } }, .service = { "lm" }, .born = born };
        }

        // Has another instance tell that the first engine is slow.
        static void tell(EndpointDirectory& directory, SteadyTime now)
        {
            directory.takePaceNews({ { "slow" }, 0, 60, 60 }, now);
            directory.takePaceNews({ { "fast" }, 0, 0, 60 }, now);
            directory.refresh(now);
        }

        EndpointDirectory m_directory { { "a" }, Random(1), {}, sharing() };
        SteadyTime m_now { 1h };
    };

    TEST_F(DirectoryPacesTest, UsesWhatOtherInstancesTell)
    {
        m_directory.replace({ engine("slow"), engine("fast") }, m_now);
        tell(m_directory, m_now);
        EXPECT_GT(m_directory.pace({ "slow" }), 1.4);
        EXPECT_LT(m_directory.pace({ "fast" }), 0.7);
        EXPECT_EQ(m_directory.slowEngines(), 1U);
        m_directory.recordWork({ "slow" }, 1s, m_now);
        EXPECT_GT(m_directory.backlog({ "slow" }, m_now), 1'400ms);
    }

    // Guards against a setting that is off and changes choices all the same.
    TEST_F(DirectoryPacesTest, DoesNothingWhereItIsOff)
    {
        EndpointDirectory directory { { "a" }, Random(1) };
        directory.replace({ engine("slow"), engine("fast") }, m_now);
        tell(directory, m_now);
        EXPECT_EQ(directory.pace({ "slow" }), 1);
        EXPECT_EQ(directory.slowEngines(), 0U);
        EXPECT_TRUE(directory.takePaceChanges().empty());
        directory.recordWork({ "slow" }, 1s, m_now);
        EXPECT_EQ(directory.backlog({ "slow" }, m_now), 1s);
        EndpointWish wish;
        wish.version = { "v1" };
        wish.promptTokens = 12'000;
        wish.tokenTime = 10us;
        Failure failure;
        const std::optional<ChosenEndpoint> chosen = directory.choose(wish, m_now, failure);
        ASSERT_TRUE(chosen);
        directory.recordPace(*chosen, { "m" }, 3s, m_now);
        EXPECT_TRUE(directory.takePaceNewsToTell(24, m_now).empty());
    }

    // Guards against an engine that is listed again, without a word on its process, and keeps what was believed of it.
    TEST_F(DirectoryPacesTest, ForgetsAnEngineThatLeftTheList)
    {
        m_directory.replace({ engine("slow"), engine("fast") }, m_now);
        tell(m_directory, m_now);
        m_directory.takePaceChanges();
        m_directory.change({}, { { "slow" } }, m_now);
        const std::vector<policy::PaceChange> changes = m_directory.takePaceChanges();
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_FALSE(changes.front().isSlow);
        m_directory.change({ engine("slow") }, {}, m_now);
        m_directory.refresh(m_now);
        EXPECT_EQ(m_directory.pace({ "slow" }), 1);
    }

    // An answer of the earlier process may come after the list shows the new one.
    TEST_F(DirectoryPacesTest, TakesNoSampleOfAnEarlierProcess)
    {
        m_directory.replace({ engine("one", 7) }, m_now);
        EndpointWish wish;
        wish.version = { "v1" };
        wish.promptTokens = 12'000;
        wish.tokenTime = 10us;
        Failure failure;
        const std::optional<ChosenEndpoint> chosen = m_directory.choose(wish, m_now, failure);
        ASSERT_TRUE(chosen);
        m_directory.change({ engine("one", 8) }, {}, m_now);
        m_directory.recordPace(*chosen, { "m" }, 3s, m_now);
        EXPECT_TRUE(m_directory.takePaceNewsToTell(24, m_now).empty());
    }

    // Guards against a factor that stays for good when the last samples are forgotten.
    TEST_F(DirectoryPacesTest, AnEngineWithoutSamplesHasTheOrdinaryPace)
    {
        m_directory.replace({ engine("slow"), engine("fast") }, m_now);
        tell(m_directory, m_now);
        m_directory.refresh(m_now + 5min);
        EXPECT_EQ(m_directory.pace({ "slow" }), 1);
        EXPECT_EQ(m_directory.pace({ "fast" }), 1);
    }

}
}
