// What is told of a connection that this process has no descriptor for.
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/resource.h>

namespace whinyard::net {
namespace {

    using namespace std::chrono_literals;

    // Leaves the process the descriptors that it has, and so many more.
    class DescriptorLimit {
    public:
        explicit DescriptorLimit(rlim_t more)
        {
            getrlimit(RLIMIT_NOFILE, &m_before);
            int next = 0;
            for (rlim_t left = more + 1; left > 0; ++next)
                left -= ::fcntl(next, F_GETFD) < 0 ? 1 : 0; // A free one.
            rlimit limit = m_before;
            limit.rlim_cur = static_cast<rlim_t>(next) - 1;
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
        DescriptorLimit(const DescriptorLimit&) = delete;
        DescriptorLimit& operator=(const DescriptorLimit&) = delete;

    private:
        rlimit m_before {};
    };

    class OwnShortageTest : public ::testing::Test {
    protected:
        OwnShortageTest()
        {
            runOn(m_duty, [this] {
                m_client = HttpClient::create(m_duty);
                m_probe = ListenProbe::create(m_duty);
                m_server = HttpServer::open(
                    m_duty, { "127.0.0.1", 0 }, {}, [](const HttpRequest&, HttpResponder& responder) { responder.send({}); }, m_failure);
                m_relay = ConnectRelay::open(
                    m_duty, { "127.0.0.1", 0 }, {}, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                    [](const RelayedConnect&, const RelayedResult&) {}, m_failure);
            });
        }

        ~OwnShortageTest() override
        {
            runOn(m_duty, [this] {
                m_client.reset();
                m_server.reset();
                m_relay.reset();
            });
        }

        void call(const std::optional<Address>& relay = std::nullopt)
        {
            runOn(m_duty, [&] {
                HttpCallOptions options { .timeout = 2s, .freshConnection = true, .lastRequest = true };
                options.relay = relay;
                m_answered = m_client->call(m_server->address(), {}, options, m_progress, m_failure).has_value();
            });
        }

        Duty m_duty { "test" };
        std::unique_ptr<HttpClient> m_client;
        std::unique_ptr<ListenProbe> m_probe;
        std::unique_ptr<HttpServer> m_server;
        std::unique_ptr<ConnectRelay> m_relay;
        HttpCallProgress m_progress;
        Failure m_failure;
        bool m_answered = false;
    };

    // Guards against a lack of descriptors that is told as the server's refusal, or as a relay that gives no answer.
    TEST_F(OwnShortageTest, IsToldApartFromARefusal)
    {
        call();
        ASSERT_TRUE(m_answered) << m_failure.reason;
        {
            const DescriptorLimit none(0);
            for (const std::optional<Address>& relay : { std::optional<Address>(), std::optional(m_relay->address()) }) {
                call(relay);
                EXPECT_FALSE(m_answered);
                EXPECT_EQ(m_progress.connect, ConnectOutcome::lacksResources);
                EXPECT_EQ(m_failure.kind, ErrorKind::overloaded);
                EXPECT_EQ(m_failure.runState, RunState::notRun);
            }
            runOn(m_duty, [this] {
                EXPECT_EQ(m_probe->ask(m_server->address(), 1s), Listening::notAsked);
                EXPECT_EQ(m_probe->askByWayOf(m_relay->address(), {}, m_server->address(), 1s), Listening::notAsked);
            });
        }
        call();
        EXPECT_TRUE(m_answered) << m_failure.reason;
    }

    // Guards against an endpoint that is taken for unreachable since the relay lacks a descriptor: another relay may have one.
    TEST_F(OwnShortageTest, OfARelayIsNoRefusalOfTheServer)
    {
        // One for the client's connection and one for the relay's end of it, none for the way to the server.
        const DescriptorLimit two(2);
        call(m_relay->address());
        EXPECT_FALSE(m_answered);
        EXPECT_EQ(m_progress.connect, ConnectOutcome::relayDeclined);
    }

}
}
