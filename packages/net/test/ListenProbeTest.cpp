#include "whinyard/net/ListenProbe.h"
#include "whinyard/net/HttpServer.h"

#include <gtest/gtest.h>

namespace whinyard::net {
namespace {

    TEST(ListenProbeTest, TellsAProcessThatListensFromOneThatIsGone)
    {
        constexpr std::chrono::milliseconds patience { 1'000 };
        Duty duty("probe");
        std::unique_ptr<HttpServer> server;
        Address address;
        const auto ask = [&] { return *callOn(duty, [&] { return ListenProbe::create(duty)->ask(address, patience); }); };
        runOn(duty, [&] {
            Failure failure;
            server = HttpServer::open(duty, { "127.0.0.1", 0 }, {}, nullptr, failure);
            address = server->address();
        });
        EXPECT_EQ(ask(), Listening::yes);
        runOn(duty, [&] { server.reset(); });
        EXPECT_EQ(ask(), Listening::no);
        address.host = "no address";
        EXPECT_EQ(ask(), Listening::unknown);
    }

}
}
