// Answers of the product's own engines and services that are broken: none of them is told as an answer.
#include "whinyard/endpoint/EngineClient.h"
#include "whinyard/endpoint/ServiceClient.h"
#include "whinyard/net/BrokenServer.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    class BrokenEndpointTest : public ::testing::Test {
    protected:
        // Calls the server in each way.
        void expectNoAnswer(const std::string& why)
        {
            net::runOn(m_duty, [&] {
                const auto client = net::HttpClient::create(m_duty);
                const auto engines = makeHttpEngineClient(*client);
                const auto services = makeHttpServiceClient(*client);
                const EngineCall call { .attempt = {}, .engine = m_server.address(), .body = "{}", .timeout = 2s, .pieceTimeout = 2s };
                Failure failure;
                const auto isUnknown = [&](const AttemptAccount& account) {
                    EXPECT_FALSE(account.answeredWhole) << why;
                    EXPECT_EQ(runStateOf(account), RunState::unknown) << why;
                    EXPECT_EQ(failure.kind, ErrorKind::endpointFailed) << why;
                };
                AttemptAccount whole;
                EXPECT_FALSE(engines->complete(call, whole, failure)) << why;
                isUnknown(whole);
                AttemptAccount streamed;
                EXPECT_FALSE(engines->open(
                    call, [](const std::string&) {}, streamed, failure))
                    << why;
                isUnknown(streamed);
                EXPECT_FALSE(engines->resume(
                    call, 1, [](const std::string&) {}, failure))
                    << why;
                EXPECT_FALSE(engines->load(m_server.address(), failure)) << why;
                for (const bool repeatable : { false, true }) {
                    AttemptAccount account;
                    EXPECT_FALSE(services->call({ .attempt = {}, .service = m_server.address(), .request = { "POST", "/x", {}, "body" }, .repeatable = repeatable, .timeout = 2s }, account, failure)) << why;
                    isUnknown(account);
                }
            });
        }

        net::Duty m_duty { "test" };
        net::testing::BrokenServer m_server;
    };

    // Guards against half a head, a status that is none or a folded line that counts as an answer, for which a customer is billed.
    TEST_F(BrokenEndpointTest, GivesNoAnswer)
    {
        for (const std::string& head : net::testing::brokenHeads()) {
            for (const bool resets : { false, true }) {
                m_server.useBytes(head, resets);
                expectNoAnswer(head);
            }
        }
    }

    // Guards against part of an answer that counts as whole as the reset that cuts it meets the upload.
    TEST_F(BrokenEndpointTest, GivesNoAnswerWhereItIsResetAmidTheUpload)
    {
        m_server.useBytes("HTTP/1.1 200 OK\r\n\r\npart of it", true);
        net::runOn(m_duty, [&] {
            const auto client = net::HttpClient::create(m_duty);
            const auto services = makeHttpServiceClient(*client);
            const auto engines = makeHttpEngineClient(*client);
            const std::string large(4 * 1024 * 1024, 'x');
            for (int i = 0; i < 10; ++i) {
                Failure failure;
                AttemptAccount account;
                EXPECT_FALSE(services->call({ .attempt = {}, .service = m_server.address(), .request = { "POST", "/x", {}, large }, .repeatable = i % 2 == 0, .timeout = 2s }, account, failure));
                EXPECT_FALSE(account.answeredWhole);
                AttemptAccount ofEngine;
                EXPECT_FALSE(engines->complete({ .attempt = {}, .engine = m_server.address(), .body = large, .timeout = 2s }, ofEngine, failure));
                EXPECT_FALSE(ofEngine.answeredWhole);
            }
        });
    }

}
}
