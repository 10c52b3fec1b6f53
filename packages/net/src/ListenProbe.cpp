#include "whinyard/net/ListenProbe.h"

#include "internal/ConnectionPool.h"
#include "internal/Endpoint.h"
#include "internal/FiberSocket.h"

#include <boost/asio.hpp>

namespace whinyard::net {

namespace {

    namespace asio = boost::asio;

    class ListenProbeImpl final : public ListenProbe {
    public:
        explicit ListenProbeImpl(Duty& duty)
            : m_duty(duty)
        {
        }

        Listening ask(const Address& address, std::chrono::milliseconds patience) override
        {
            Failure failure;
            const auto endpoint = internal::toEndpoint<asio::ip::tcp>(address, failure);
            if (!endpoint)
                return Listening::unknown;
            internal::FiberSocket socket(m_duty.loop());
            socket.expireAfter(patience);
            boost::system::error_code error;
            socket.connect(*endpoint, error);
            if (!error)
                return Listening::yes;
            if (internal::isOwnShortage(error))
                return Listening::notAsked;
            return error == asio::error::connection_refused ? Listening::no : Listening::unknown;
        }

        Listening askByWayOf(const Address& relay, const std::vector<HttpField>& fields, const Address& address, std::chrono::milliseconds patience) override
        {
            ConnectOutcome outcome = ConnectOutcome::notTried;
            Failure ignored;
            internal::ConnectionPool pool(m_duty);
            if (pool.connectThrough(relay, fields, address, SystemClock().now() + patience, outcome, ignored))
                return Listening::yes;
            if (outcome == ConnectOutcome::lacksResources)
                return Listening::notAsked;
            return outcome == ConnectOutcome::refused ? Listening::no : Listening::unknown;
        }

    private:
        Duty& m_duty;
    };

}

std::unique_ptr<ListenProbe> ListenProbe::create(Duty& duty)
{
    return std::make_unique<ListenProbeImpl>(duty);
}

}
