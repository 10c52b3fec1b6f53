#include "whinyard/endpoint/EndpointDirectory.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::endpoint {
namespace {

    class EndpointDirectoryTest : public testing::Test {
    protected:
        static backing::ListedEndpoint engine(const std::string& name, bool leaving = false)
        {
            return { .name = { name }, .kind = backing::ListedKind::engine, .address = { "127.0.0.1", 1 }, .zone = { "a" }, .versions = { { "v1" } }, .service = {}, .leaving = leaving };
        }

        std::string choose(std::vector<EndpointName> excluded = {})
        {
            EndpointWish wish;
            wish.version = { "v1" };
            wish.excluded = std::move(excluded);
            const auto chosen = m_directory.choose(wish, m_now, m_failure);
            return chosen ? chosen->name.value : "";
        }

        EndpointDirectory m_directory { { "a" }, Random(1) };
        SteadyTime m_now {};
        Failure m_failure;
    };

    TEST_F(EndpointDirectoryTest, ChoosesAmongEndpointsThatServeTheVersionAndWereNotTried)
    {
        m_directory.replace({ engine("e1"), engine("e2") }, m_now);
        EXPECT_EQ(choose({ { "e1" } }), "e2");
        EXPECT_EQ(choose({ { "e1" }, { "e2" } }), "");
        EXPECT_EQ(m_failure.kind, ErrorKind::noEndpoint);
        EXPECT_EQ(m_failure.runState, RunState::notRun);
    }

    TEST_F(EndpointDirectoryTest, GivesNothingToALeavingEndpointUntilTheListShowsItAnew)
    {
        m_directory.replace({ engine("e1") }, m_now);
        m_directory.markLeaving({ "e1" });
        EXPECT_EQ(choose(), "");
        m_directory.replace({ engine("e1") }, m_now);
        EXPECT_EQ(choose(), "") << "the list lags behind the refusal";
        m_directory.replace({ engine("e1", true) }, m_now);
        EXPECT_EQ(choose(), "");
        m_directory.replace({ engine("e1") }, m_now);
        EXPECT_EQ(choose(), "e1") << "it came back after the list had shown it leaving";
        m_directory.markLeaving({ "e1" });
        m_directory.replace({}, m_now);
        m_directory.replace({ engine("e1") }, m_now);
        EXPECT_EQ(choose(), "e1") << "it came back after the list had dropped it";
    }

    // Guards against a wave of ended endpoints that is taken for a lost path: probes would mostly ask those that are known to have ended.
    TEST_F(EndpointDirectoryTest, DrawsEjectedEndpointsOnlyWhereThereAreTooFewOthers)
    {
        std::vector<backing::ListedEndpoint> engines;
        for (int number = 0; number < 12; ++number)
            engines.push_back(engine("e" + std::to_string(number)));
        for (backing::ListedEndpoint& one : engines)
            one.service = { "svc" };
        m_directory.replace(engines, m_now);
        const auto isEjected = [](const backing::ListedEndpoint& one) { return one.name.value == "e0" || one.name.value == "e1" || one.name.value == "e2"; };
        for (int failure = 0; failure < 5; ++failure) {
            for (const char* name : { "e0", "e1", "e2" }) {
                m_directory.recordDispatch({ name }, {}, m_now);
                m_directory.recordEnd({ name }, EndpointOutcome::unreachable, std::chrono::milliseconds(1), m_now);
            }
        }
        for (int draw = 0; draw < 20; ++draw) {
            const auto drawn = m_directory.drawLive({ "svc" }, 4);
            EXPECT_EQ(drawn.size(), 4U);
            EXPECT_TRUE(std::none_of(drawn.begin(), drawn.end(), isEjected));
        }
        EXPECT_EQ(m_directory.drawLive({ "svc" }, 12).size(), 12U);
    }

    // Callers of one instance after another ask with the same shared prompt. Sharing what was placed lowered the tokens that
    // were read again by 36 in 100, on twelve engines behind six instances.
    TEST_F(EndpointDirectoryTest, PrefersTheEngineThatAnotherInstanceGaveThePrompt)
    {
        std::vector<backing::ListedEndpoint> engines;
        for (int number = 0; number < 12; ++number)
            engines.push_back(engine("e" + std::to_string(number)));
        m_directory.replace(engines, m_now);
        EndpointWish wish;
        wish.version = { "v1" };
        wish.promptTokens = 6'000;
        wish.tokenTime = std::chrono::microseconds(30);
        wish.prefixShares = { 0.1F, 0.8F, 1 };
        for (std::uint64_t prompt = 1; prompt <= 20; ++prompt) {
            const std::string holder = "e" + std::to_string(prompt % 12);
            wish.prefix = { 100, 200 + prompt, 300 + prompt };
            wish.affinity = wish.prefix[1];
            m_directory.recordPrefixes({ holder }, { 100, 200 + prompt, 400 + prompt }, m_now);
            const auto chosen = m_directory.choose(wish, m_now, m_failure);
            ASSERT_TRUE(chosen);
            EXPECT_EQ(chosen->name.value, holder) << prompt;
        }
    }

    TEST_F(EndpointDirectoryTest, TakesARefusalForLeaving)
    {
        m_directory.replace({ engine("e1"), engine("e2") }, m_now);
        m_directory.recordDispatch({ "e1" }, {}, m_now);
        m_directory.recordEnd({ "e1" }, EndpointOutcome::leaving, std::chrono::milliseconds(1), m_now);
        EXPECT_EQ(choose(), "e2");
        EXPECT_EQ(m_directory.size(), 1U);
        EXPECT_EQ(m_directory.takeRefusals(), (std::vector<EndpointName> { { "e1" } }));
        EXPECT_TRUE(m_directory.takeRefusals().empty());
    }

    TEST_F(EndpointDirectoryTest, ExpectsMoreOfALoadedVersionAndSaysWhenToComeBack)
    {
        m_directory.replace({ engine("e1") }, m_now);
        const std::chrono::microseconds idle = m_directory.expectation({ "v1" }, m_now).firstToken;
        for (int request = 0; request < 100; ++request)
            m_directory.recordDispatch({ "e1" }, {}, m_now);
        EXPECT_GT(m_directory.expectation({ "v1" }, m_now).firstToken, idle + std::chrono::seconds(1));
        EXPECT_EQ(m_directory.expectation({ "v2" }, m_now).firstToken, std::chrono::hours(1)) << "nobody serves it";
        m_directory.recordComeBackAt({ "e1" }, m_now + std::chrono::seconds(3));
        EXPECT_EQ(choose(), "");
        EXPECT_EQ(m_failure.kind, ErrorKind::overloaded);
        EXPECT_EQ(m_failure.retryAfter, std::chrono::seconds(3));
    }

    // Guards against endpoints that take few requests, or none, and make engines' time look cheap.
    TEST_F(EndpointDirectoryTest, LeavesEndpointsThatHoldWorkOffOutOfTheMeanBacklog)
    {
        backing::ListedEndpoint first = engine("e1");
        first.service = { "s" };
        backing::ListedEndpoint second = engine("e2");
        second.service = { "s" };
        m_directory.replace({ first, second }, m_now);
        m_directory.useInstances({ "self" }, {});
        m_directory.recordWork({ "e1" }, std::chrono::seconds(2), m_now);
        EXPECT_EQ(m_directory.meanBacklog({ "s" }, m_now), std::chrono::seconds(1));
        m_directory.recordStatement({ "e2" }, { .requestsPerSecond = 0.5 }, m_now, m_now);
        EXPECT_EQ(m_directory.meanBacklog({ "s" }, m_now), std::chrono::seconds(2)) << "it states a rate";
        m_directory.recordStatement({ "e2" }, {}, m_now + std::chrono::milliseconds(1), m_now);
        EXPECT_EQ(m_directory.meanBacklog({ "s" }, m_now), std::chrono::seconds(1));
        EndpointStatement rest;
        rest.rest = std::chrono::seconds(3);
        m_directory.recordStatement({ "e2" }, rest, m_now, m_now);
        EXPECT_EQ(m_directory.meanBacklog({ "s" }, m_now), std::chrono::seconds(2)) << "it rests";
        m_directory.recordStatement({ "e1" }, rest, m_now, m_now);
        EXPECT_EQ(m_directory.meanBacklog({ "s" }, m_now), std::chrono::seconds(3)) << "none takes work before";
    }

    // Guards against a price of engines' time that takes idle engines for busy ones, or those that hold work off for idle ones.
    TEST_F(EndpointDirectoryTest, CountsEnginesThatReadOrHoldWorkOffAsBusy)
    {
        std::vector<backing::ListedEndpoint> engines { engine("e1"), engine("e2"), engine("e3"), engine("e4") };
        for (backing::ListedEndpoint& listed : engines)
            listed.service = { "s" };
        m_directory.replace(engines, m_now);
        m_directory.useInstances({ "self" }, {});
        EXPECT_DOUBLE_EQ(m_directory.busyShare({ "s" }, m_now), 0);
        m_directory.recordWork({ "e1" }, std::chrono::seconds(2), m_now);
        EXPECT_DOUBLE_EQ(m_directory.busyShare({ "s" }, m_now), 0.25);
        EXPECT_DOUBLE_EQ(m_directory.busyShare({ "s" }, m_now + std::chrono::seconds(3)), 0) << "it has read its prompts";
        m_directory.recordWork({ "e1" }, std::chrono::seconds(2), m_now);
        EndpointStatement rest;
        rest.rest = std::chrono::seconds(3);
        m_directory.recordStatement({ "e1" }, rest, m_now, m_now);
        m_directory.recordStatement({ "e2" }, rest, m_now, m_now);
        EXPECT_DOUBLE_EQ(m_directory.busyShare({ "s" }, m_now), 0.5) << "each counts once";
        EXPECT_DOUBLE_EQ(m_directory.busyShare({ "other" }, m_now), 0);
    }

}
}
