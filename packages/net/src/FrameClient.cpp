#include "whinyard/net/FrameClient.h"

#include "internal/ConnectionPool.h"
#include "internal/Frame.h"

#include <boost/asio/error.hpp>

#include <algorithm>

namespace whinyard::net {

using boost::system::error_code;
using internal::ClientConnection;

namespace {

    class FrameClientImpl final : public FrameClient {
    public:
        explicit FrameClientImpl(Duty& duty)
            : m_pool(std::make_shared<internal::ConnectionPool>(duty))
        {
        }

        std::optional<std::string> call(const Address& address, std::string_view request, const FrameCallOptions& options, FrameCallProgress& progress, Failure& failure) override
        {
            progress = {};
            if (request.size() > options.frameBytes) {
                failure = Failure { ErrorKind::bodyTooLarge, "the request to " + toText(address) + " is over its limit" };
                return std::nullopt;
            }
            const auto pool = m_pool; // The client may be destroyed while this fiber waits.
            const SteadyTime deadline = std::chrono::steady_clock::now() + options.timeout;
            error_code error;
            auto connection = send(*pool, address, request, options, deadline, progress, error, failure);
            if (!connection)
                return std::nullopt;
            std::string answer;
            if (!error)
                answer = internal::readFrame(connection->socket, connection->buffer, options.frameBytes, error);
            if (error) {
                failure = failureFor(error, address, progress.bytesWritten);
                return std::nullopt;
            }
            pool->release(address, std::move(connection), !options.freshConnection);
            return answer;
        }

    private:
        // Returns the connection that took at least one byte, or all that there is to say of the last one.
        static std::unique_ptr<ClientConnection> send(internal::ConnectionPool& pool, const Address& address, std::string_view request, const FrameCallOptions& options, SteadyTime deadline, FrameCallProgress& progress, error_code& error, Failure& failure)
        {
            for (;;) {
                auto connection = options.freshConnection ? nullptr : pool.takeKept(address);
                ConnectOutcome ignored {};
                if (!connection)
                    connection = pool.connect(address, std::min(deadline, std::chrono::steady_clock::now() + options.connectTimeout), ignored, failure);
                if (!connection)
                    return nullptr;
                connection->socket.expireAt(deadline);
                internal::writeFrame(connection->socket, request, error);
                progress.bytesWritten = connection->socket.bytesWritten();
                const bool wasClosedBefore = error && progress.bytesWritten == 0 && connection->reused;
                if (!wasClosedBefore)
                    return connection;
                error = {};
            }
        }

        static Failure failureFor(const error_code& error, const Address& address, std::size_t bytesWritten)
        {
            Failure failure = internal::exchangeFailure(error, address, bytesWritten, ErrorKind::peerUnreachable);
            if (error == boost::asio::error::message_size) {
                failure.kind = ErrorKind::bodyTooLarge;
                failure.reason = "the answer of " + toText(address) + " is over its limit";
            }
            return failure;
        }

        const std::shared_ptr<internal::ConnectionPool> m_pool;
    };

}

std::unique_ptr<FrameClient> FrameClient::create(Duty& duty)
{
    return std::make_unique<FrameClientImpl>(duty);
}

}
