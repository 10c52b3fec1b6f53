// How long a connection that has gone silent is taken for alive, and how one that was lost ends for its reader.
#include "internal/FiberSocket.h"

#include "whinyard/net/Duty.h"
#include "whinyard/net/RawConnection.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>

namespace whinyard::net::internal {
namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    int option(int descriptor, int name)
    {
        int value = -1;
        socklen_t size = sizeof value;
        EXPECT_EQ(::getsockopt(descriptor, IPPROTO_TCP, name, &value, &size), 0);
        return value;
    }

    // Guards against probes that go on for longer than their number says: a TCP_USER_TIMEOUT, whoever set it, decides in its place.
    TEST(FiberSocketTest, GivesUpADeadPeerWhenItsProbesAreOver)
    {
        constexpr int inSecond = 1'000;
        asio::io_context loop;
        tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
        tcp::socket connected(loop);
        connected.connect(acceptor.local_endpoint());
        const int descriptor = connected.native_handle();
        FiberSocket socket(std::move(connected));
        socket.findDeadPeer();
        const int probed = option(descriptor, TCP_KEEPIDLE) + option(descriptor, TCP_KEEPCNT) * option(descriptor, TCP_KEEPINTVL);
        EXPECT_EQ(probed, 3);
        EXPECT_EQ(option(descriptor, TCP_USER_TIMEOUT), probed * inSecond);
    }

    // Guards against a cut that looks like a proper end: the system tells of a reset once, and a write may be what it tells.
    TEST(FiberSocketTest, ReadsNoProperEndAfterAWriteThatFailed)
    {
        asio::io_context loop;
        tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
        Duty duty("test");
        for (const bool readsAtOnce : { false, true }) {
            runOn(duty, [&] {
                tcp::socket connected(duty.loop());
                connected.connect(acceptor.local_endpoint());
                testing::RawConnection peer(acceptor);
                peer.write("part");
                peer.reset();
                FiberSocket socket(std::move(connected));
                socket.expireAfter(std::chrono::seconds(5));
                boost::system::error_code error;
                while (!error)
                    socket.write_some(asio::buffer("more", 4), error);
                EXPECT_EQ(error, asio::error::connection_reset);
                std::array<char, 16> bytes {};
                const auto read = [&] { return readsAtOnce ? socket.readNow(asio::buffer(bytes), error) : socket.read_some(asio::buffer(bytes), error); };
                EXPECT_EQ(std::string(bytes.data(), read()), "part") << "what had arrived is there";
                read();
                EXPECT_EQ(error, asio::error::connection_reset);
            });
        }
    }

}
}
