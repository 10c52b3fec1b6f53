#include "Proxy.h"

#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"

#include <gtest/gtest.h>

namespace whinyard::soak {
namespace {

    using namespace std::chrono_literals;

    class ProxyTest : public testing::Test {
    protected:
        ProxyTest()
        {
            net::runOn(m_duty, [this] {
                Failure failure;
                m_server = net::HttpServer::open(
                    m_duty, { "127.0.0.1", 0 }, {}, [this](const net::HttpRequest&, net::HttpResponder& responder) {
                        ++m_handled;
                        responder.send({ .status = 200, .fields = {}, .body = "hello" });
                    },
                    failure);
                m_target = m_server->address();
                m_client = net::HttpClient::create(m_duty);
            });
            m_proxy = std::make_unique<Proxy>(m_target);
        }

        ~ProxyTest() override
        {
            net::runOn(m_duty, [this] {
                m_client.reset();
                m_server.reset();
            });
            m_duty.stop();
        }

        // Returns the body, or the kind of failure.
        std::string call(std::chrono::milliseconds timeout = 400ms, bool fresh = true)
        {
            return *net::callOn(m_duty, [&] {
                net::HttpCallProgress progress;
                Failure failure;
                net::HttpCallOptions options;
                options.timeout = timeout;
                options.freshConnection = fresh;
                const auto response = m_client->call(m_proxy->address(), { .method = "GET", .target = "/", .fields = {}, .body = {} }, options, progress, failure);
                return response ? response->body : std::string(answerFor(failure.kind).name);
            });
        }

        net::Duty m_duty { "proxy-test" };
        net::Address m_target;
        int m_handled = 0; // Requests that passed the proxy.
        std::unique_ptr<net::HttpServer> m_server;
        std::unique_ptr<net::HttpClient> m_client;
        std::unique_ptr<Proxy> m_proxy;
    };

    TEST_F(ProxyTest, HandsBytesOn)
    {
        EXPECT_EQ(call(), "hello");
    }

    TEST_F(ProxyTest, KeepsAConnectionSilentForGood)
    {
        EXPECT_EQ(call(400ms, false), "hello");
        m_proxy->use(LinkState::silent);
        EXPECT_EQ(call(), "deadlineExceeded");
        m_proxy->use(LinkState::open);
        EXPECT_EQ(call(400ms, false), "deadlineExceeded") << "the kept connection";
        EXPECT_EQ(call(), "hello");
    }

    TEST_F(ProxyTest, LosesAnswers)
    {
        m_proxy->use(LinkState::answersLost);
        EXPECT_EQ(call(), "deadlineExceeded");
    }

    TEST_F(ProxyTest, ResetsConnections)
    {
        m_proxy->use(LinkState::refusing);
        const std::string kind = call();
        EXPECT_TRUE(kind == "endpointFailed" || kind == "peerUnreachable") << kind << ", by whether a byte was written before the reset came";
        EXPECT_EQ(m_handled, 0);
    }

    TEST_F(ProxyTest, Delays)
    {
        m_proxy->use(LinkState::delayed, 150ms);
        const auto began = std::chrono::steady_clock::now();
        EXPECT_EQ(call(2s), "hello");
        EXPECT_GE(std::chrono::steady_clock::now() - began, 300ms);
    }

}
}
