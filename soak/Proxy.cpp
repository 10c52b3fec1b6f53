#include "Proxy.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <thread>

namespace whinyard::soak {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    constexpr std::size_t chunkBytes = 16 * 1024;

    struct Pair;

    // What all connections of a proxy share; used on its thread only.
    struct Link {
        LinkState state = LinkState::open;
        std::chrono::milliseconds delay { 0 };
        bool hidesClose = false;
        std::set<Pair*> pairs;
    };

    // Puts an option that nobody knows in the place of one that announces the close.
    void hideClose(std::array<char, chunkBytes>& chunk, std::size_t size)
    {
        constexpr std::string_view announcement = "Connection: close\r\n";
        constexpr std::string_view other = "Connection: other\r\n";
        const std::size_t found = std::string_view(chunk.data(), size).find(announcement);
        if (found != std::string_view::npos)
            std::copy(other.begin(), other.end(), chunk.begin() + static_cast<std::ptrdiff_t>(found));
    }

    // Two connections whose bytes are handed on.
    struct Pair : std::enable_shared_from_this<Pair> {
        Pair(asio::io_context& loop, Link& shared)
            : caller(loop)
            , target(loop)
            , link(shared)
        {
            link.pairs.insert(this);
        }

        ~Pair() { link.pairs.erase(this); }

        void reset()
        {
            boost::system::error_code ignored;
            for (tcp::socket* socket : { &caller, &target }) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }

        void begin(const tcp::endpoint& where)
        {
            target.async_connect(where, [self = shared_from_this()](boost::system::error_code error) {
                if (error)
                    return self->reset();
                self->pump(self->caller, self->target, self->forth, self->forthMuted);
                self->pump(self->target, self->caller, self->back, self->backMuted);
            });
        }

        void pump(tcp::socket& from, tcp::socket& to, std::array<char, chunkBytes>& chunk, bool& muted)
        {
            from.async_read_some(asio::buffer(chunk), [self = shared_from_this(), &from, &to, &chunk, &muted](boost::system::error_code error, std::size_t size) {
                self->take(error, size, from, to, chunk, muted);
            });
        }

        void take(boost::system::error_code error, std::size_t size, tcp::socket& from, tcp::socket& to, std::array<char, chunkBytes>& chunk, bool& muted)
        {
            // A connection that has gone silent hides its end too.
            if (error == asio::error::eof && !muted) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            if (error)
                return muted ? void() : reset();
            if (muted)
                return pump(from, to, chunk, muted);
            if (link.hidesClose && &from == &target)
                hideClose(chunk, size);
            auto timer = std::make_shared<asio::steady_timer>(from.get_executor(), link.delay);
            timer->async_wait([self = shared_from_this(), timer, size, &from, &to, &chunk, &muted](boost::system::error_code) {
                asio::async_write(to, asio::buffer(chunk, size), [self, &from, &to, &chunk, &muted](boost::system::error_code failed, std::size_t) {
                    if (failed)
                        return self->reset();
                    self->pump(from, to, chunk, muted);
                });
            });
        }

        tcp::socket caller;
        tcp::socket target;
        Link& link;
        std::array<char, chunkBytes> forth {};
        std::array<char, chunkBytes> back {};
        bool forthMuted = false;
        bool backMuted = false;
    };

    tcp::endpoint endpointOf(const net::Address& address)
    {
        return { asio::ip::make_address(address.host), address.port };
    }

}

struct Proxy::State {
    explicit State(const net::Address& where)
        : acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , target(endpointOf(where))
    {
        address = { "127.0.0.1", acceptor.local_endpoint().port() };
        accept();
    }

    void accept()
    {
        auto pair = std::make_shared<Pair>(loop, link);
        acceptor.async_accept(pair->caller, [this, pair](boost::system::error_code error) {
            if (error)
                return;
            if (link.state == LinkState::refusing)
                pair->reset();
            else {
                pair->forthMuted = link.state == LinkState::silent;
                pair->backMuted = link.state == LinkState::silent || link.state == LinkState::answersLost;
                pair->begin(target);
            }
            accept();
        });
    }

    void use(LinkState state, std::chrono::milliseconds delay)
    {
        link.state = state;
        link.delay = state == LinkState::delayed ? delay : std::chrono::milliseconds(0);
        const std::set<Pair*> open = link.pairs;
        for (Pair* pair : open) {
            if (state == LinkState::refusing && pair->caller.is_open())
                pair->reset();
            pair->forthMuted = pair->forthMuted || state == LinkState::silent;
            pair->backMuted = pair->backMuted || state == LinkState::silent || state == LinkState::answersLost;
        }
    }

    Link link; // Outlives the loop, whose handlers own the pairs.
    asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    net::Address address;
    std::thread thread;
};

Proxy::Proxy(const net::Address& target)
    : m_state(std::make_unique<State>(target))
{
    m_state->thread = std::thread([state = m_state.get()] { state->loop.run(); });
}

Proxy::~Proxy()
{
    m_state->loop.stop();
    m_state->thread.join();
}

const net::Address& Proxy::address() const
{
    return m_state->address;
}

void Proxy::useTarget(const net::Address& target)
{
    asio::post(m_state->loop, [state = m_state.get(), target] { state->target = endpointOf(target); });
}

void Proxy::hideCloseAnnouncements()
{
    asio::post(m_state->loop, [state = m_state.get()] { state->link.hidesClose = true; });
}

void Proxy::use(LinkState link, std::chrono::milliseconds delay)
{
    asio::post(m_state->loop, [state = m_state.get(), link, delay] { state->use(link, delay); });
}

}
