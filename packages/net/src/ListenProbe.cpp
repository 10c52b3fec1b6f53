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
        ListenProbeImpl(Duty& duty, std::size_t mostAtOnce)
            : m_duty(duty)
            , m_mostAtOnce(mostAtOnce)
        {
        }

        Listening ask(const Address& address, std::chrono::milliseconds patience) override
        {
            Failure failure;
            const auto endpoint = internal::toEndpoint<asio::ip::tcp>(address, failure);
            if (!endpoint)
                return Listening::unknown;
            if (m_asking >= m_mostAtOnce)
                return Listening::notAsked;
            const Asking counted(m_asking);
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
            if (m_asking >= m_mostAtOnce)
                return Listening::notAsked;
            const Asking counted(m_asking);
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
        class Asking {
        public:
            explicit Asking(std::size_t& count)
                : m_count(count)
            {
                ++m_count;
            }
            ~Asking() { --m_count; }
            Asking(const Asking&) = delete;
            Asking& operator=(const Asking&) = delete;

        private:
            std::size_t& m_count;
        };

        Duty& m_duty;
        const std::size_t m_mostAtOnce;
        std::size_t m_asking = 0;
    };

}

std::unique_ptr<ListenProbe> ListenProbe::create(Duty& duty, std::size_t mostAtOnce)
{
    return std::make_unique<ListenProbeImpl>(duty, mostAtOnce);
}

}
