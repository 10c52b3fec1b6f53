// What the cases of this review share: a stand-in of the platform's store, of engines and of clients, and the start of the
// project's daemons by the command of the deploy file. Plain sockets and threads, loopback only.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
using Millis = std::chrono::milliseconds;

inline Clock::time_point startedAt = Clock::now();
inline std::int64_t nowMs() { return std::chrono::duration_cast<Millis>(Clock::now() - startedAt).count(); }

// The record of what was sent, answered and run.
class Record {
public:
    void open(const std::string& file) { m_out.open(file); }
    void note(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " " << line << "\n"
              << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline Record record;

struct Fields : std::vector<std::pair<std::string, std::string>> {
    using vector::vector;
    std::string get(std::string_view name) const
    {
        for (const auto& [key, value] : *this) {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        }
        return {};
    }
};

struct Request {
    std::string method, target;
    Fields fields;
    std::string body;
};

// A connected socket with a buffer for what was read ahead.
class Wire {
public:
    explicit Wire(int fd = -1)
        : m_fd(fd)
    {
        int one = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Wire() { close(); }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Waits for bytes until the deadline. Returns 1 with bytes, 0 at the end of the connection, -1 on a reset, -2 on a time-out.
    int fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
        pollfd one { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) <= 0)
            return -2;
        char bytes[65536];
        const ssize_t size = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (size < 0)
            return -1;
        if (size == 0)
            return 0;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return 1;
    }

    void shutdownSend() { ::shutdown(m_fd, SHUT_WR); }
    void reset()
    {
        linger now { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    std::string buffer;

private:
    int m_fd;
};

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

struct Address {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

// A new connection, of at most a second; closed where there is none.
inline std::unique_ptr<Wire> connectTo(const Address& to, Millis within = 1000ms)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(to.host, to.port);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result < 0 && errno == EINPROGRESS) {
        pollfd one { fd, POLLOUT, 0 };
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&one, 1, static_cast<int>(within.count())) > 0)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        result = error == 0 ? 0 : -1;
    }
    if (result < 0) {
        ::close(fd);
        return std::make_unique<Wire>();
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Wire>(fd);
}

// Reads the head of a message: its first line and its fields.
inline bool readHead(Wire& wire, std::string& first, Fields& fields, Clock::time_point deadline, int* how = nullptr)
{
    std::size_t end = 0;
    while ((end = wire.buffer.find("\r\n\r\n")) == std::string::npos) {
        const int got = wire.fill(deadline);
        if (how)
            *how = got;
        if (got != 1)
            return false;
    }
    std::istringstream head(wire.buffer.substr(0, end));
    wire.buffer.erase(0, end + 4);
    fields.clear();
    std::getline(head, first);
    if (!first.empty() && first.back() == '\r')
        first.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ')
            ++begin;
        fields.push_back({ line.substr(0, colon), line.substr(begin) });
    }
    return true;
}

enum class BodyEnd { whole,
    closed,
    reset,
    timedOut };

// Reads the body that follows a head; `piece` sees the bytes as they come.
inline BodyEnd readBody(Wire& wire, const Fields& fields, bool endsWithConnection, std::string& body, Clock::time_point deadline, const std::function<void(std::string_view)>& piece = {})
{
    const auto more = [&](BodyEnd& end) {
        const int got = wire.fill(deadline);
        end = got == 0 ? BodyEnd::closed : got == -1 ? BodyEnd::reset
                                                     : BodyEnd::timedOut;
        return got == 1;
    };
    const auto take = [&](std::size_t size) {
        if (piece)
            piece(std::string_view(wire.buffer).substr(0, size));
        body += wire.buffer.substr(0, size);
        wire.buffer.erase(0, size);
    };
    BodyEnd end = BodyEnd::whole;
    if (fields.get("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = wire.buffer.find("\r\n")) == std::string::npos) {
                if (!more(end))
                    return end;
            }
            std::size_t size = std::strtoul(wire.buffer.c_str(), nullptr, 16);
            wire.buffer.erase(0, line + 2);
            const bool last = size == 0;
            while (size > 0) {
                if (wire.buffer.empty() && !more(end))
                    return end;
                const std::size_t part = std::min(size, wire.buffer.size());
                take(part);
                size -= part;
            }
            while (wire.buffer.size() < 2) {
                if (!more(end))
                    return end;
            }
            wire.buffer.erase(0, 2);
            if (last)
                return BodyEnd::whole;
        }
    }
    if (const std::string length = fields.get("Content-Length"); !length.empty()) {
        std::size_t left = std::strtoul(length.c_str(), nullptr, 10);
        while (left > 0) {
            if (wire.buffer.empty() && !more(end))
                return end;
            const std::size_t part = std::min(left, wire.buffer.size());
            take(part);
            left -= part;
        }
        return BodyEnd::whole;
    }
    if (!endsWithConnection)
        return BodyEnd::whole;
    while (true) {
        take(wire.buffer.size());
        if (!more(end))
            return end == BodyEnd::closed ? BodyEnd::whole : end;
    }
}

// Listens, and has each connection served by a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Wire&)>;

    Listener(Address at, Serve serve)
        : m_at(std::move(at))
        , m_serve(std::move(serve))
    {
        open();
    }
    ~Listener()
    {
        close();
        std::unique_lock lock(m_mutex);
        m_ended.wait_for(lock, 5s, [this] { return m_running == 0; });
    }

    bool open()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = addressOf(m_at.host, m_at.port);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 || ::listen(fd, 512) < 0) {
            std::perror("listen");
            ::close(fd);
            return false;
        }
        sockaddr_in own {};
        socklen_t size = sizeof own;
        getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
        m_at.port = ntohs(own.sin_port);
        m_fd = fd;
        m_thread = std::thread([this, fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                auto wire = std::make_shared<Wire>(accepted);
                const std::lock_guard lock(m_mutex);
                m_wires.push_back(wire);
                ++m_running;
                std::thread([this, wire] {
                    m_serve(*wire);
                    const std::lock_guard last(m_mutex);
                    wire->close();
                    m_wires.remove(wire);
                    --m_running;
                    m_ended.notify_all();
                }).detach();
            }
        });
        return true;
    }

    // Nobody listens any more, and the connections that stand are ended (as the end of a process does).
    void close(bool waits = true)
    {
        if (m_fd < 0)
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        m_fd = -1;
        std::unique_lock lock(m_mutex);
        for (const auto& wire : m_wires) {
            if (wire->isOpen())
                ::shutdown(wire->fd(), SHUT_RDWR);
        }
        if (waits)
            m_ended.wait_for(lock, 5s, [this] { return m_running == 0; });
    }

    const Address& address() const { return m_at; }

private:
    Address m_at;
    Serve m_serve;
    int m_fd = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::list<std::shared_ptr<Wire>> m_wires;
    int m_running = 0;
};

inline std::string base64(std::string_view bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string fromBase64(std::string_view text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = c >= 'A' && c <= 'Z' ? c - 'A' : c >= 'a' && c <= 'z' ? c - 'a' + 26
            : c >= '0' && c <= '9'                                        ? c - '0' + 52
            : c == '+'                                                    ? 62
            : c == '/'                                                    ? 63
                                                                          : -1;
        if (digit < 0)
            continue;
        value = value << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255);
        }
    }
    return bytes;
}

inline std::string unescaped(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
            i += 2;
        } else
            plain += text[i];
    }
    return plain;
}

// The platform's metadata store, as PROTOCOL.md describes it.
class Store {
public:
    explicit Store(const Address& at)
        : m_listener(at, [this](Wire& wire) { serve(wire, {}); })
        , m_sweeper([this] {
            while (!m_ends) {
                std::this_thread::sleep_for(50ms);
                const std::lock_guard lock(m_mutex);
                lapse();
            }
        })
    {
    }
    ~Store()
    {
        m_ends = true;
        m_changed.notify_all();
        m_sweeper.join();
        m_views.clear();
        m_listener.close();
    }

    // What a reader at an address of its own sees of an item: the engines' addresses on its own links.
    using View = std::function<std::string(const std::string& key, const std::string& value)>;
    Address addView(const Address& at, View view)
    {
        m_views.push_back(std::make_unique<Listener>(at, [this, view = std::move(view)](Wire& wire) { serve(wire, view); }));
        return m_views.back()->address();
    }

    Address address() const { return m_listener.address(); }

    void write(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        put(key, value, 0, m_revision + 1);
    }
    void erase(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        remove(key, m_revision + 1);
    }
    std::map<std::string, std::string> under(const std::string& prefix)
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, std::string> found;
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix))
                found[key] = item.value;
        }
        return found;
    }

    // Refuses every call with 503 while it is away.
    void setAway(bool away)
    {
        m_away = away;
        m_changed.notify_all();
    }

    void keepCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = { m_items, m_revision, m_lastLease, m_leases };
    }
    // Comes back from the copy in a new era; revisions and leases are given out again.
    void returnToCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_items = m_copy.items;
        m_revision = m_copy.revision;
        m_lastLease = m_copy.lastLease;
        m_leases = m_copy.leases;
        for (auto& [number, lease] : m_leases)
            lease.end = Clock::now() + lease.timeToLive;
        std::erase_if(m_events, [this](const Event& event) { return event.revision > m_revision; });
        m_floor = std::min(m_floor, m_revision);
        ++m_era;
        m_changed.notify_all();
    }

    // Sees each transaction that a daemon makes, before it is answered.
    std::function<void(const json& body, int status)> onTransaction;

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Item> item; // Nothing where the key was removed.
    };
    struct Lease {
        Millis timeToLive;
        Clock::time_point end;
    };
    struct Copy {
        std::map<std::string, Item> items;
        std::uint64_t revision = 0, lastLease = 0;
        std::map<std::uint64_t, Lease> leases;
    };

    static json render(const std::string& key, const Item& item, const View& view)
    {
        return { { "key", key }, { "value", base64(view ? view(key, item.value) : item.value) }, { "revision", item.revision }, { "created_rev", item.created }, { "lease", item.lease } };
    }
    void put(const std::string& key, const std::string& value, std::uint64_t lease, std::uint64_t revision)
    {
        Item& item = m_items[key];
        item.value = value;
        item.revision = m_revision = revision;
        item.created = item.created == 0 ? revision : item.created;
        item.lease = lease;
        m_events.push_back({ revision, key, item });
        m_changed.notify_all();
    }
    void remove(const std::string& key, std::uint64_t revision)
    {
        if (m_items.erase(key) == 0)
            return;
        m_revision = revision;
        m_events.push_back({ revision, key, std::nullopt });
        m_changed.notify_all();
    }
    void lapse()
    {
        std::erase_if(m_leases, [now = Clock::now()](const auto& lease) { return lease.second.end <= now; });
        std::vector<std::string> gone;
        for (const auto& [key, item] : m_items) {
            if (item.lease != 0 && !m_leases.contains(item.lease))
                gone.push_back(key);
        }
        for (const std::string& key : gone)
            remove(key, m_revision + 1);
    }

    void answer(Wire& wire, int status, const json& body = json::object())
    {
        const std::string text = body.dump();
        wire.write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    void serve(Wire& wire, const View& view)
    {
        std::string first;
        Fields fields;
        while (readHead(wire, first, fields, Clock::now() + 120s)) {
            Request request { first.substr(0, first.find(' ')), "", fields, "" };
            const std::size_t begin = first.find(' ') + 1;
            request.target = first.substr(begin, first.find(' ', begin) - begin);
            if (readBody(wire, fields, false, request.body, Clock::now() + 10s) != BodyEnd::whole)
                return;
            handle(wire, request, view);
            if (fields.get("Connection") == "close")
                return;
        }
    }

    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const std::size_t mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');)
            query[part.substr(0, part.find('='))] = unescaped(part.substr(std::min(part.size(), part.find('=') + 1)));
        return query;
    }

    void handle(Wire& wire, const Request& request, const View& view)
    {
        if (m_away)
            return answer(wire, 503);
        const std::string path = request.target.substr(0, request.target.find('?'));
        auto query = queryOf(request.target);
        std::unique_lock lock(m_mutex);
        lapse();
        if (path == "/api/kv-key") {
            const auto item = m_items.find(query["key"]);
            json body = item == m_items.end() ? json::object() : render(item->first, item->second, view);
            body["store_revision"] = m_revision;
            const int status = item == m_items.end() ? 404 : 200;
            lock.unlock();
            return answer(wire, status, body);
        }
        if (path == "/api/kv-range") {
            json body { { "entries", json::array() }, { "has_more", false }, { "store_revision", m_revision } };
            for (const auto& [key, item] : m_items) {
                if (!key.starts_with(query["prefix"]) || (query.contains("after") && key <= query["after"]))
                    continue;
                if (body["entries"].size() == 500) {
                    body["has_more"] = true;
                    break;
                }
                body["entries"].push_back(render(key, item, view));
            }
            lock.unlock();
            return answer(wire, 200, body);
        }
        if (path == "/api/kv-watch") {
            const std::uint64_t after = std::stoull(query["after"]);
            const auto end = Clock::now() + Millis(std::stoll(query["wait_ms"]));
            if (after < m_floor || after > m_revision) {
                lock.unlock();
                return answer(wire, 410);
            }
            const std::uint64_t era = m_era;
            while (true) {
                json events = json::array();
                for (const Event& event : m_events) {
                    if (event.revision > after && event.key.starts_with(query["prefix"]) && events.size() < 500)
                        events.push_back(event.item ? render(event.key, *event.item, view) : json { { "key", event.key }, { "revision", event.revision }, { "deleted", true } });
                }
                const bool isCut = m_away || m_era != era || m_ends;
                if (isCut || !events.empty() || Clock::now() >= end) {
                    const json body { { "events", events }, { "store_revision", m_revision } };
                    lock.unlock();
                    return isCut ? answer(wire, 503) : answer(wire, 200, body);
                }
                m_changed.wait_until(lock, end);
            }
        }
        if (path == "/api/kv-txn")
            return transact(wire, json::parse(request.body), lock, view);
        if (path == "/api/kv-lease") {
            const Millis time(json::parse(request.body)["ttl_ms"].get<std::int64_t>());
            const std::uint64_t number = ++m_lastLease;
            m_leases[number] = { time, Clock::now() + time };
            lock.unlock();
            return answer(wire, 200, { { "lease", number }, { "ttl_ms", time.count() } });
        }
        const auto numberAfter = [&](std::string_view prefix) { return std::stoull(path.substr(prefix.size())); };
        if (path.starts_with("/api/kv-keep/") || path.starts_with("/api/kv-lease-end/")) {
            const bool keeps = path.starts_with("/api/kv-keep/");
            const auto lease = m_leases.find(numberAfter(keeps ? "/api/kv-keep/" : "/api/kv-lease-end/"));
            const bool stands = lease != m_leases.end();
            json body = json::object();
            if (stands && keeps) {
                lease->second.end = Clock::now() + lease->second.timeToLive;
                body["ttl_ms"] = lease->second.timeToLive.count();
            } else if (stands) {
                lease->second.end = Clock::now();
                lapse();
            }
            lock.unlock();
            return answer(wire, stands ? 200 : 404, body);
        }
        lock.unlock();
        answer(wire, 404);
    }

    void transact(Wire& wire, const json& body, std::unique_lock<std::mutex>& lock, const View& view)
    {
        int status = 200;
        json told = json::object();
        for (const json& row : body.value("precondition", json::array())) {
            const auto item = m_items.find(row["key"].get<std::string>());
            if ((item == m_items.end() ? 0 : item->second.revision) != row["revision"].get<std::uint64_t>())
                status = 412;
        }
        for (const json& row : body.value("puts", json::array())) {
            const std::string key = row["key"].get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                status = 403;
            else if (status == 200 && row.value("lease", std::uint64_t { 0 }) != 0 && !m_leases.contains(row["lease"].get<std::uint64_t>()))
                status = 404;
        }
        if (status == 412) {
            told["entries"] = json::array();
            for (const json& row : body["precondition"]) {
                if (const auto item = m_items.find(row["key"].get<std::string>()); item != m_items.end())
                    told["entries"].push_back(render(item->first, item->second, view));
            }
        }
        if (status == 200) {
            const std::uint64_t revision = m_revision + 1;
            for (const json& row : body.value("puts", json::array()))
                put(row["key"].get<std::string>(), fromBase64(row["value"].get<std::string>()), row.value("lease", std::uint64_t { 0 }), revision);
            for (const json& key : body.value("deletes", json::array()))
                remove(key.get<std::string>(), revision);
            told["revision"] = m_revision;
        }
        if (onTransaction)
            onTransaction(body, status);
        lock.unlock();
        answer(wire, status, told);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 0, m_floor = 0, m_lastLease = 0;
    std::atomic<std::uint64_t> m_era = 1;
    Copy m_copy;
    std::atomic<bool> m_away = false, m_ends = false;
    Listener m_listener;
    std::vector<std::unique_ptr<Listener>> m_views;
    std::thread m_sweeper;
};

// A proxy on the way between two processes. While it is cut, nobody listens there, and what it carried is reset.
class Link {
public:
    Link(const Address& at, Address target)
        : m_target(std::move(target))
        , m_listener(at, [this](Wire& wire) { carry(wire); })
    {
    }

    const Address& address() const { return m_listener.address(); }
    void cut()
    {
        m_isCut = true;
        m_listener.close(false);
    }
    void heal()
    {
        m_isCut = false;
        m_listener.open();
    }

private:
    // Passes on bytes, ends and resets, each way.
    void carry(Wire& from)
    {
        const auto to = connectTo(m_target);
        if (!to->isOpen())
            return from.reset();
        bool isFromOpen = true;
        bool isToOpen = true;
        while ((isFromOpen || isToOpen) && !m_isCut) {
            pollfd both[2] = { { isFromOpen ? from.fd() : -1, POLLIN, 0 }, { isToOpen ? to->fd() : -1, POLLIN, 0 } };
            if (::poll(both, 2, 20) <= 0)
                continue;
            if (both[0].revents && !pass(from, *to, isFromOpen))
                return;
            if (both[1].revents && !pass(*to, from, isToOpen))
                return;
        }
        if (m_isCut) {
            from.reset();
            to->reset();
        }
    }
    static bool pass(Wire& from, Wire& to, bool& isOpen)
    {
        const int got = from.fill(Clock::now() + 1s);
        if (got == -1) {
            to.reset();
            from.reset();
            return false;
        }
        if (got == 0) {
            isOpen = false;
            to.shutdownSend();
        }
        const bool isWritten = to.write(from.buffer);
        from.buffer.clear();
        return isWritten;
    }

    Address m_target;
    std::atomic<bool> m_isCut = false;
    Listener m_listener;
};

// An engine or plain service: it runs what names it, signs its answers, and is listed in the store.
class Engine {
public:
    struct Place {
        std::string id, service, zone;
        int slots = 8;
        std::string version = "v1";
    };
    // Answers a request that has begun to run.
    using Answer = std::function<void(Engine& engine, Wire& wire, const Request& request)>;

    Engine(Store& store, const Address& at, Place place, Answer answer)
        : m_store(store)
        , m_place(std::move(place))
        , m_answer(std::move(answer))
        , m_listener(at, [this](Wire& wire) { serve(wire); })
    {
    }

    const std::string& id() const { return m_place.id; }
    const Address& address() const { return m_listener.address(); }

    json entry(const char* state = "ready")
    {
        return { { "service", m_place.service }, { "address", address().text() }, { "zone", m_place.zone }, { "version", m_place.version }, { "slots", m_place.slots }, { "state", state }, { "cold_left_ms", 0 }, { "sequence", ++m_sequence } };
    }
    void list(const char* state = "ready") { m_store.write("servers/" + m_place.id, entry(state).dump()); }
    void unlist() { m_store.erase("servers/" + m_place.id); }
    void crash() { m_listener.close(false); }
    void startAgain(const std::string& id)
    {
        m_place.id = id;
        m_listener.open();
    }

    // The fields that all of its answers hold.
    std::string headFor(const Request& request, int status = 200) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + request.fields.get("X-Request-Id") + "\r\nX-Server-Signature: by-" + m_place.id + "\r\n";
    }
    void answerWhole(Wire& wire, const Request& request, const std::string& body, int status = 200)
    {
        wire.write(headFor(request, status) + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    }

private:
    void serve(Wire& wire)
    {
        std::string first;
        Request request;
        if (!readHead(wire, first, request.fields, Clock::now() + 30s))
            return;
        request.method = first.substr(0, first.find(' '));
        const std::size_t begin = first.find(' ') + 1;
        request.target = first.substr(begin, first.find(' ', begin) - begin);
        if (readBody(wire, request.fields, false, request.body, Clock::now() + 30s) != BodyEnd::whole)
            return;
        const std::string expected = request.fields.get("X-Expect-Instance");
        if (!expected.empty() && expected != m_place.id) {
            wire.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_place.id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        if (m_running >= m_place.slots) {
            wire.write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        ++m_running;
        record.note("run " + request.fields.get("X-Request-Id") + " at " + m_place.id + " " + request.method + " " + request.target + " body " + std::to_string(request.body.size()));
        m_answer(*this, wire, request);
        --m_running;
    }

    Store& m_store;
    Place m_place;
    Answer m_answer;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_sequence = 0;
    Listener m_listener;
};

struct Reply {
    int status = 0; // 0: none.
    Fields fields;
    std::string body;
    bool isWhole = false;
    std::string how; // Why there is none, or not the whole.
    std::int64_t afterMs = 0;
};

inline const char* text(BodyEnd end)
{
    return end == BodyEnd::whole ? "whole" : end == BodyEnd::closed ? "closed"
        : end == BodyEnd::reset                                     ? "reset"
                                                                    : "timed out";
}

inline Reply readReply(Wire& wire, Millis patience, const std::function<void(std::string_view)>& piece = {})
{
    const auto began = Clock::now();
    Reply reply;
    std::string first;
    int got = 0;
    if (!readHead(wire, first, reply.fields, began + patience, &got)) {
        reply.how = got == 0 ? "closed" : got == -1 ? "reset"
                                                    : "timed out";
    } else {
        reply.status = std::atoi(first.substr(9, 3).c_str());
        const BodyEnd end = readBody(wire, reply.fields, reply.status != 204 && reply.status != 304, reply.body, began + patience, piece);
        reply.isWhole = end == BodyEnd::whole;
        reply.how = text(end);
    }
    reply.afterMs = std::chrono::duration_cast<Millis>(Clock::now() - began).count();
    return reply;
}

inline std::string encode(const Request& request, bool forceLength = false)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields)
        head += name + ": " + value + "\r\n";
    if (!request.body.empty() || request.method == "POST" || forceLength)
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return head + "\r\n" + request.body;
}

inline std::atomic<int> lastRequest = 0;

// A request as clients of the site send it.
inline Request makeRequest(const std::string& method, const std::string& target, int deadlineMs, std::string body = {})
{
    char id[32];
    std::snprintf(id, sizeof id, "q%015x", static_cast<unsigned>(++lastRequest));
    return { method, target, { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadlineMs) }, { "Authorization", "Token key-1" } }, std::move(body) };
}

// Sends one request on a connection of its own, and notes it.
inline Reply ask(const Address& to, const Request& request, Millis patience)
{
    const std::string id = request.fields.get("X-Request-Id");
    record.note("sent " + id + " to " + to.text() + " " + request.method + " " + request.target + " body " + std::to_string(request.body.size()));
    const auto wire = connectTo(to);
    Reply reply;
    if (!wire->isOpen())
        reply.how = "not connected";
    else if (!wire->write(encode(request)))
        reply.how = "not sent";
    else
        reply = readReply(*wire, patience);
    record.note("answered " + id + " status " + std::to_string(reply.status) + " " + reply.how + " body " + std::to_string(reply.body.size()) + " after " + std::to_string(reply.afterMs) + " ms");
    return reply;
}

// One site: the store, engines as they are added, and daemons of the project on loopback addresses of their own.
class Site {
public:
    struct Options {
        int daemons = 3;
        int memoryMb = 110;
        json more = json::object(); // Further settings of a process.
    };

    Site()
        : Site(Options {})
    {
    }
    explicit Site(const Options& options)
        : m_options(options)
        , m_net("127." + std::to_string(64 + getpid() / 250 % 60) + "." + std::to_string(getpid() % 250 + 1) + ".")
        , store({ host(250), 0 })
    {
        char name[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(name);
        m_pids.resize(static_cast<std::size_t>(options.daemons), -1);
        for (m_base = 10'000 + getpid() * 97 % 20'000; !isFree(); m_base += 97) { }
    }
    ~Site()
    {
        for (std::size_t daemon = 0; daemon < m_pids.size(); ++daemon)
            kill(daemon);
        engines.clear();
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_folder);
    }

    std::string host(int last) const { return m_net + std::to_string(last); }
    // Instances know each other by the address that connections come from, which on loopback is the same for all.
    std::string ip() const { return "127.0.0.1"; }
    int base(std::size_t daemon) const { return m_base + 30 * static_cast<int>(daemon); }
    Address front(std::size_t daemon) const { return { ip(), base(daemon) }; }
    Address ready(std::size_t daemon) const { return { ip(), base(daemon) + 1 }; }
    std::string logOf(std::size_t daemon) const { return m_folder + "/entry-" + std::to_string(daemon) + ".log"; }
    pid_t pid(std::size_t daemon) const { return m_pids[daemon]; }

    Engine& addEngine(const Engine::Place& place, Engine::Answer answer)
    {
        engines.push_back(std::make_unique<Engine>(store, Address { host(100 + static_cast<int>(engines.size())), 0 }, place, std::move(answer)));
        engines.back()->list();
        return *engines.back();
    }

    // Starts one daemon by the command of the deploy file. The address of its store may be a proxy's.
    void start(std::size_t daemon, std::optional<Address> storeAddress = {})
    {
        const std::string own = ip();
        json settings = { { "node_name", "edge-" + std::to_string(daemon) }, { "role", "entry" }, { "machine_class", "edge" }, { "serves", { "edge" } }, { "ip", own }, { "zone", "hall-a" }, { "region", "cz" }, { "zones", { { "hall-a", "cz" }, { "hall-b", "cz" } } },
            { "listen", { { "front", front(daemon).text() }, { "ready", ready(daemon).text() } } }, { "port_range", { base(daemon) + 10, base(daemon) + 25 } }, { "seeds", json::array() }, { "bootstrap", true },
            { "limits", { { "cpu_share", 0.25 }, { "cores", 1 }, { "memory_mb", m_options.memoryMb }, { "max_fds", 4100 }, { "link_mbps", 1000.0 }, { "disk_mb", 0 } } }, { "data_dir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeat_ms", 1200 },
            { "bounds", { { "seed_lag_s", 3 }, { "reuse_after_s", 2 }, { "contact_ms", 3000 }, { "ack_ms", 4000 }, { "catch_up_s", 4 }, { "drain_ms", 2000 }, { "grace_s", 8 }, { "loss_slack_ms", 200 }, { "config_apply_ms", 2000 }, { "rollback_slack_ms", 250 }, { "max_stretch_ms", 5000 }, { "strict_revoke", false }, { "revoke_ms", 5000 }, { "budget_ratio", 0.9 }, { "budget_window_s", 10 }, { "retry_slack", 58 }, { "expose_share", 0.15 }, { "expose_slack", 30 }, { "rollback_ms", 5000 }, { "recover_s", 12 }, { "pass_ms", 120 }, { "reuse_window_s", 9 }, { "session_s", 5 } } },
            { "platform", { { "address", storeAddress.value_or(store.address()).text() }, { "form", "kv" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 }, { "history_s", 20 }, { "value_bytes", 1048576 }, { "ttl_min_ms", 1000 } } } };
        settings.update(m_options.more);
        const std::string file = m_folder + "/entry-" + std::to_string(daemon) + ".json";
        std::ofstream(file) << settings.dump(2);
        const std::string metrics = own + ":" + std::to_string(base(daemon) + 2);
        const std::string log = logOf(daemon);
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the script, however that ends.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            setenv("WHINYARD_SETTINGS", file.c_str(), 1);
            execl("target/apps/whinyardd/whinyardd", "whinyardd", "--platform-settings", file.c_str(), "--tuning", "deploy/tuning.json", "--metrics", metrics.c_str(), nullptr);
            _exit(127);
        }
        m_pids[daemon] = child;
        record.note("started daemon " + std::to_string(daemon));
    }

    void startAll()
    {
        for (std::size_t daemon = 0; daemon < m_pids.size(); ++daemon)
            start(daemon);
    }

    bool isReady(std::size_t daemon)
    {
        const auto wire = connectTo(ready(daemon));
        return wire->isOpen() && wire->write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") && readReply(*wire, 1000ms).status == 200;
    }
    bool awaitReady(Millis within = 15s)
    {
        const auto end = Clock::now() + within;
        for (std::size_t daemon = 0; daemon < m_pids.size(); ++daemon) {
            while (!isReady(daemon)) {
                if (Clock::now() > end)
                    return false;
                std::this_thread::sleep_for(50ms);
            }
        }
        return true;
    }

    void signal(std::size_t daemon, int number) { ::kill(m_pids[daemon], number); }
    void kill(std::size_t daemon)
    {
        if (m_pids[daemon] <= 0)
            return;
        ::kill(m_pids[daemon], SIGCONT);
        ::kill(m_pids[daemon], SIGKILL);
        waitpid(m_pids[daemon], nullptr, 0);
        m_pids[daemon] = -1;
    }
    // Returns how the daemon has ended by itself, if it has.
    std::optional<int> ended(std::size_t daemon)
    {
        int status = 0;
        if (m_pids[daemon] <= 0 || waitpid(m_pids[daemon], &status, WNOHANG) <= 0)
            return std::nullopt;
        m_pids[daemon] = -1;
        return status;
    }

private:
    // Whether the ports of all daemons are free. They lie below those that the system gives to clients.
    bool isFree() const
    {
        for (int port = m_base; port < base(m_pids.size()); ++port) {
            const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = addressOf(ip(), port);
            const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
            ::close(fd);
            if (!free)
                return false;
        }
        return true;
    }

    Options m_options;
    std::string m_net, m_folder;
    int m_base = 0;
    std::vector<pid_t> m_pids;

public:
    Store store;
    std::vector<std::unique_ptr<Engine>> engines;
};

// The routes of the small sites: a stream, a request that must not be repeated, and one that may be.
inline json route(const char* name, const char* kind, const char* service, int timeoutMs, int goalMs, int attempts)
{
    json written = { { "name", name }, { "host", "ficu95.example" }, { "prefix", "/" + std::string(name) + "/" }, { "kind", kind }, { "timeout_ms", timeoutMs }, { "goal_ms", goalMs }, { "priority", 1 }, { "service", service }, { "max_attempts", attempts }, { "public", false } };
    if (std::string(kind) == "streaming") {
        written["resumable"] = true;
        written["gap_aim_ms"] = 1500;
    }
    return written;
}

inline json configuration(int version, const json& routes)
{
    return { { "version", version }, { "routes", routes }, { "services", { { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 110 }, { "protocol", "h1" }, { "tls", false } }, { { "name", "lm" }, { "health_path", "/healthz" }, { "max_conns", 370 }, { "protocol", "h1" }, { "tls", false } } } },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } }, { "tenants", { { { "name", "hule930" }, { "api_keys", { "key-1" } }, { "priority", 1 } } } } };
}

inline json siteRoutes()
{
    return { route("stream", "streaming", "lm", 20000, 2000, 3), route("once", "non_idempotent", "app", 800, 300, 1), route("whole", "idempotent", "app", 800, 300, 2) };
}

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
