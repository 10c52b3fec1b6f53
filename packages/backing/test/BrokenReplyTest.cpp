// Replies of the store, or of another service of the platform, that are broken: none of them is told as a reply.
#include "whinyard/backing/JsonCalls.h"
#include "whinyard/net/BrokenServer.h"

#include <gtest/gtest.h>

namespace whinyard::backing {
namespace {

    using namespace std::chrono_literals;

    // Guards against half a record, or an empty list of records, that is believed since its server broke off: endpoints and rules of the
    // operators would be taken for removed.
    TEST(BrokenReplyTest, IsNoReply)
    {
        net::Duty duty("test");
        net::testing::BrokenServer server;
        net::runOn(duty, [&] {
            const auto client = net::HttpClient::create(duty);
            for (const bool fresh : { false, true }) {
                JsonCalls calls(*client, { .address = server.address(), .freshConnections = fresh });
                for (const std::string& head : net::testing::brokenHeads()) {
                    for (const bool resets : { false, true }) {
                        server.useBytes(head, resets);
                        Failure failure;
                        EXPECT_FALSE(calls.get("/x", 2s, failure)) << head;
                        EXPECT_EQ(failure.kind, ErrorKind::storeUnavailable) << head;
                        EXPECT_FALSE(calls.read("/x", 2s, failure)) << head;
                        EXPECT_EQ(failure.kind, ErrorKind::storeUnavailable) << head;
                        EXPECT_FALSE(calls.post("/x", nlohmann::json::object(), CallEffect::write, 2s, failure)) << head;
                        EXPECT_EQ(failure.kind, ErrorKind::storeUncertain) << "it may have been written: " << head;
                        EXPECT_FALSE(calls.remove("/x", 2s, failure)) << head;
                        EXPECT_EQ(failure.kind, ErrorKind::storeUncertain) << head;
                    }
                }
            }
        });
    }

    // Guards against part of a reply that is believed as the reset that cuts it meets the write of the request.
    TEST(BrokenReplyTest, IsNoReplyWhereItIsResetAmidTheRequest)
    {
        net::Duty duty("test");
        net::testing::BrokenServer server;
        server.useBytes("HTTP/1.1 200 OK\r\n\r\n{}", true);
        net::runOn(duty, [&] {
            const auto client = net::HttpClient::create(duty);
            JsonCalls calls(*client, { .address = server.address() });
            for (int i = 0; i < 10; ++i) {
                Failure failure;
                EXPECT_FALSE(calls.post("/x", { { "text", std::string(4 * 1024 * 1024, 'x') } }, CallEffect::write, 2s, failure));
                EXPECT_EQ(failure.kind, ErrorKind::storeUncertain);
            }
        });
    }

}
}
