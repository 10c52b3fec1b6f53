#include "whinyard/net/FrameServer.h"

#include "internal/Frame.h"
#include "internal/TcpServer.h"

namespace whinyard::net {

using boost::system::error_code;
using internal::ServerConnection;
using internal::TcpServer;

namespace {

    // Answers one frame; returns whether the connection can take another.
    bool serveOne(TcpServer& server, ServerConnection& connection, boost::beast::flat_buffer& buffer, const FrameServerLimits& limits, const FrameHandler& handler)
    {
        const TcpServer::ActiveRequest active(server);
        error_code error;
        connection.socket.expireAfter(limits.receiveTimeout);
        const std::string request = internal::readFrame(connection.socket, buffer, limits.frameBytes, error);
        if (error)
            return false;
        const auto answer = handler(request);
        if (!answer || answer->size() > limits.frameBytes)
            return false;
        connection.socket.expireAfter(limits.sendTimeout);
        internal::writeFrame(connection.socket, *answer, error);
        return !error;
    }

    void serve(TcpServer& server, ServerConnection& connection, const FrameServerLimits& limits, const FrameHandler& handler)
    {
        boost::beast::flat_buffer buffer;
        while (server.awaitRequest(connection, buffer, limits.idleTimeout)) {
            if (!serveOne(server, connection, buffer, limits, handler) || server.isDraining())
                return;
        }
    }

}

std::unique_ptr<FrameServer> FrameServer::open(Duty& duty, const Address& address, const FrameServerLimits& limits, FrameHandler handler, Failure& failure)
{
    auto serveAll = [limits, handler = std::move(handler)](TcpServer& server, ServerConnection& connection) {
        serve(server, connection, limits, handler);
    };
    auto server = TcpServer::open(duty, address, limits.connections, std::move(serveAll), failure);
    if (!server)
        return nullptr;
    return std::make_unique<internal::ServerOver<FrameServer>>(std::move(server));
}

}
