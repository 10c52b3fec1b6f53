// Small stand-ins for review scripts: the platform's store, engines, clients, and the daemons' processes.
//
// Everything listens on loopback addresses. A case is a program that builds a world, sends requests, and judges what clients and
// engines saw. It ends with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using Steady = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Steady::time_point beganAt = Steady::now();
inline double seconds() { return std::chrono::duration<double>(Steady::now() - beganAt).count(); }
inline void pause(int ms) { std::this_thread::sleep_for(Ms(ms)); }
inline bool hasTrouble()
{
    const char* set = std::getenv("TROUBLE");
    return !set || std::string(set) != "0";
}

// What was sent, answered and run.
class Record {
public:
    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
    void say(const char* format, ...)
    {
        char line[2048];
        va_list values;
        va_start(values, format);
        std::vsnprintf(line, sizeof line, format, values);
        va_end(values);
        const std::lock_guard lock(m_mutex);
        if (m_file) {
            std::fprintf(m_file, "%9.3f %s\n", seconds(), line);
            std::fflush(m_file);
        }
        if (std::getenv("SHOW"))
            std::fprintf(stderr, "%9.3f %s\n", seconds(), line);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};
inline Record record;

[[noreturn]] inline void cannotRun(const std::string& why)
{
    record.say("can't run: %s", why.c_str());
    std::fprintf(stderr, "can't run: %s\n", why.c_str());
    std::_Exit(2);
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct Message {
    std::string start; // The request or status line.
    Headers headers;
    std::string body;
    bool isWhole = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [known, value] : headers) {
            if (lower(known) == lower(name))
                return value;
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ');
        return from == std::string::npos ? std::string() : start.substr(from + 1, start.rfind(' ') - from - 1);
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// One connection, with blocking calls under a deadline.
class Connection {
public:
    explicit Connection(int fd = -1)
        : m_fd(fd)
    {
        const int on = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool connect(const std::string& ip, int port, int ms = 2000)
    {
        close();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int flags = fcntl(m_fd, F_GETFL);
        fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
        const sockaddr_in address = addressOf(ip, port);
        int error = ::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ? 0 : errno;
        if (error == EINPROGRESS) {
            pollfd wait { m_fd, POLLOUT, 0 };
            socklen_t size = sizeof error;
            if (poll(&wait, 1, ms) != 1 || getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
                error = ETIMEDOUT;
        }
        fcntl(m_fd, F_SETFL, flags);
        if (error != 0)
            close();
        return error == 0;
    }
    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }

    bool write(const std::string& bytes, int ms = 10'000)
    {
        const auto end = Steady::now() + Ms(ms);
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                continue;
            }
            if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
                return false;
            const auto left = std::chrono::duration_cast<Ms>(end - Steady::now()).count();
            pollfd wait { m_fd, POLLOUT, 0 };
            if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        return true;
    }

    // Reads more into the buffer. Returns false at the end, after an error or after the time.
    bool more(int ms)
    {
        pollfd wait { m_fd, POLLIN, 0 };
        if (m_fd < 0 || poll(&wait, 1, std::max(ms, 0)) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, 0);
        m_wasReset = count < 0;
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readHead(Message& message, int ms)
    {
        const auto end = Steady::now() + Ms(ms);
        std::size_t at;
        m_timedOut = m_wasReset = false;
        while ((at = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(left(end)))
                return false;
        }
        std::istringstream head(m_buffer.substr(0, at));
        m_buffer.erase(0, at + 4);
        std::string line;
        message = {};
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
        return true;
    }

    // Reads the body behind a head; of an answer without a length up to the end of the connection.
    bool readBody(Message& message, int ms, bool isAnswer)
    {
        const auto end = Steady::now() + Ms(ms);
        const auto need = [&](std::size_t size) {
            while (m_buffer.size() < size) {
                if (!more(left(end)))
                    return false;
            }
            return true;
        };
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            while (true) {
                std::size_t eol;
                while ((eol = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!more(left(end)))
                        return false;
                }
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, eol + 2);
                if (!need(size + 2))
                    return false;
                message.body += m_buffer.substr(0, size);
                m_buffer.erase(0, size + 2);
                if (size == 0)
                    return message.isWhole = true;
            }
        }
        const std::string length = message.header("Content-Length");
        if (!length.empty()) {
            const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
            const bool whole = need(size);
            message.body = m_buffer.substr(0, size);
            m_buffer.erase(0, size);
            return message.isWhole = whole;
        }
        if (!isAnswer || message.status() == 204)
            return message.isWhole = true;
        while (more(left(end))) { }
        message.body = std::exchange(m_buffer, {});
        return message.isWhole = !m_timedOut && !m_wasReset;
    }

    bool hasClosed() // Of the peer, without reading.
    {
        pollfd wait { m_fd, POLLRDHUP, 0 };
        return m_fd < 0 || (poll(&wait, 1, 0) > 0 && (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
    }
    bool timedOut() const { return m_timedOut; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    void reset()
    {
        const linger now { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

private:
    static int left(Steady::time_point end) { return static_cast<int>(std::chrono::duration_cast<Ms>(end - Steady::now()).count()); }

    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_wasReset = false;
};

inline std::string text(const std::string& start, const Headers& headers, const std::string& body)
{
    std::string bytes = start + "\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    return bytes + "\r\n" + body;
}

// Accepts connections, each on a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(std::string ip, int port, Handler handler)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handler(std::move(handler))
    {
        listen();
    }
    ~Server() { stop(); }

    void listen()
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(m_ip, m_port);
        if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(m_fd, 4096) != 0)
            cannotRun("no address " + m_ip + ":" + std::to_string(m_port));
        socklen_t size = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_runs = true;
        std::thread([fd = m_fd, this] {
            while (m_runs) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    {
                        const std::lock_guard lock(m_mutex);
                        m_open.insert(accepted);
                    }
                    m_handler(connection);
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(accepted);
                    connection.close();
                }).detach();
            }
        }).detach();
    }

    // Ends as a killed process does: nobody listens, and all connections end.
    void stop()
    {
        if (!m_runs.exchange(false))
            return;
        shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open)
            shutdown(fd, SHUT_RDWR);
    }
    int port() const { return m_port; }
    const std::string& ip() const { return m_ip; }

private:
    const std::string m_ip;
    int m_port;
    const Handler m_handler;
    int m_fd = -1;
    std::atomic<bool> m_runs { false };
    std::mutex m_mutex;
    std::set<int> m_open;
};

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned three = 0;
        for (std::size_t j = 0; j < 3; ++j)
            three = three << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > bytes.size() ? '=' : digits[three >> (18 - 6 * j) & 63];
    }
    return out;
}

inline std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    std::istringstream parts(query == std::string::npos ? std::string() : target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (!part.starts_with(name + "="))
            continue;
        std::string value;
        const std::string raw = part.substr(name.size() + 1);
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                value += static_cast<char>(std::strtoul(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else
                value += raw[i];
        }
        return value;
    }
    return {};
}

// The platform's metadata store, from memory.
class Store {
public:
    Store()
        : m_server("127.0.0.1", 0, [this](Connection& connection) { serve(connection); })
    {
    }
    int port() const { return m_server.port(); }

    // Writes as the operator and the engines do.
    void put(const std::string& key, const json& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, base64(value.dump()), 0);
        m_changed.notify_all();
    }
    void erase(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        remove(key);
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Ms ttl { 0 };
        Steady::time_point end;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        Item& item = m_items[key];
        item = { value, m_revision, item.created ? item.created : m_revision, lease };
        m_events.push_back(toJson(key, item));
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ { "key", key }, { "revision", m_revision }, { "deleted", true } });
    }
    static json toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created_rev", item.created }, { "lease", item.lease } };
    }
    void expire()
    {
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (Steady::now() < lease->second.end) {
                ++lease;
                continue;
            }
            std::vector<std::string> ended;
            for (const auto& [key, item] : m_items) {
                if (item.lease == lease->first)
                    ended.push_back(key);
            }
            if (!ended.empty())
                ++m_revision;
            for (const std::string& key : ended)
                remove(key);
            lease = m_leases.erase(lease);
        }
    }

    void serve(Connection& connection)
    {
        Message request;
        while (connection.readHead(request, 600'000) && connection.readBody(request, 10'000, false)) {
            int status = 200;
            const json body = answer(request, status);
            const std::string dumped = body.dump();
            const Headers headers { { "Content-Type", "application/json" }, { "Content-Length", std::to_string(dumped.size()) } };
            if (!connection.write(text("HTTP/1.1 " + std::to_string(status) + " OK", headers, dumped)))
                return;
        }
    }

    json answer(const Message& request, int& status)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        expire();
        if (path == "/api/kv-key") {
            const auto item = m_items.find(parameter(target, "key"));
            if (item == m_items.end()) {
                status = 404;
                return json::object();
            }
            json found = toJson(item->first, item->second);
            found["store_revision"] = m_revision;
            return found;
        }
        if (path == "/api/kv-range") {
            json entries = json::array();
            const std::string prefix = parameter(target, "prefix");
            const std::string after = parameter(target, "after");
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix) && key > after)
                    entries.push_back(toJson(key, item));
            }
            return { { "entries", entries }, { "has_more", false }, { "store_revision", m_revision } };
        }
        if (path == "/api/kv-watch") {
            const std::string prefix = parameter(target, "prefix");
            const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const auto end = Steady::now() + Ms(std::atoi(parameter(target, "wait_ms").c_str()));
            json events = json::array();
            while (true) {
                for (const json& event : m_events) {
                    if (event["revision"] > after && event["key"].get<std::string>().starts_with(prefix))
                        events.push_back(event);
                }
                if (!events.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
                    break;
            }
            return { { "events", events }, { "store_revision", m_revision } };
        }
        if (path == "/api/kv-txn")
            return transact(json::parse(request.body), status);
        if (path == "/api/kv-lease") {
            const Ms ttl(std::max<std::int64_t>(1000, json::parse(request.body)["ttl_ms"].get<std::int64_t>()));
            m_leases[++m_lastLease] = { ttl, Steady::now() + ttl };
            return { { "lease", m_lastLease }, { "ttl_ms", ttl.count() } };
        }
        const std::uint64_t lease = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (!m_leases.contains(lease)) {
            status = 404;
            return json::object();
        }
        if (path.starts_with("/api/kv-lease-end"))
            m_leases[lease].end = Steady::now();
        else
            m_leases[lease].end = Steady::now() + m_leases[lease].ttl;
        return { { "ttl_ms", m_leases[lease].ttl.count() } };
    }

    json transact(const json& body, int& status)
    {
        json present = json::array();
        bool holds = true;
        for (const json& row : body.value("precondition", json::array())) {
            const auto item = m_items.find(row["key"]);
            holds = holds && (item == m_items.end() ? 0 : item->second.revision) == row["revision"].get<std::uint64_t>();
            if (item != m_items.end())
                present.push_back(toJson(item->first, item->second));
        }
        if (!holds) {
            status = 412;
            return { { "entries", present } };
        }
        for (const json& put : body.value("puts", json::array())) {
            const std::uint64_t lease = put.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease)) {
                status = 404;
                return json::object();
            }
        }
        ++m_revision;
        for (const json& put : body.value("puts", json::array()))
            write(put["key"], put["value"], put.value("lease", std::uint64_t { 0 }));
        for (const json& key : body.value("deletes", json::array()))
            remove(key);
        m_changed.notify_all();
        return { { "revision", m_revision } };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<json> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 10;
    std::uint64_t m_lastLease = 100;
    Server m_server;
};

// The places of one world: a port of each kind that is free on every address.
struct Ports {
    int front = 0;
    int ready = 0;
    int metrics = 0;
    int first = 0; // Of sixteen for traffic between instances.
};

inline bool isFree(const std::string& ip, int port)
{
    for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(ip, port);
        const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (!bound)
            return false;
    }
    return true;
}

inline Ports freePorts(int instances)
{
    std::mt19937 random(std::random_device {}());
    for (int i = 0; i < 200; ++i) {
        const int base = 11'000 + static_cast<int>(random() % 900) * 20; // Below the range that the system gives to clients.
        bool free = true;
        for (int instance = 0; free && instance < instances; ++instance) {
            for (int port = base; free && port < base + 20; ++port)
                free = isFree("127.0.0." + std::to_string(2 + instance), port);
        }
        if (free)
            return { base, base + 1, base + 2, base + 4 };
    }
    cannotRun("no free ports");
}

// One instance of the system, by the command of the deploy file.
class Daemon {
public:
    Daemon(int number, const Ports& ports, int storePort, std::string folder, json limits, bool isFirstStart = true)
        : m_ip("127.0.0." + std::to_string(2 + number))
        , m_ports(ports)
        , m_folder(std::move(folder))
    {
        const std::string name = "edge-z-" + std::to_string(number + 1);
        m_settings = { { "node_name", name }, { "role", "entry" }, { "machine_class", "edge" }, { "serves", { "edge" } }, { "ip", m_ip }, { "zone", "z1" }, { "region", "r1" },
            { "zones", { { "z1", "r1" } } }, { "listen", { { "front", m_ip + ":" + std::to_string(ports.front) }, { "ready", m_ip + ":" + std::to_string(ports.ready) } } },
            { "port_range", { ports.first, ports.first + 15 } }, { "seeds", json::array() }, { "bootstrap", isFirstStart }, { "loss_counts", false }, { "limits", std::move(limits) },
            { "data_dir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeat_ms", 1200 },
            { "contracts", { "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout" } },
            { "fault_tolerance", { { "machines", 2 }, { "zones", 0 }, { "regions", 0 } } },
            { "bounds", json::parse(R"({"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":false,"revoke_ms":5000,"budget_ratio":0.9,"budget_window_s":10,"retry_slack":58,"expose_share":0.15,"expose_slack":30,"rollback_ms":5000,"recover_s":12,"pass_ms":120,"reuse_window_s":9,"session_s":5})") },
            { "platform", { { "address", "127.0.0.1:" + std::to_string(storePort) }, { "form", "kv" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 }, { "history_s", 20 }, { "value_bytes", 1048576 }, { "ttl_min_ms", 1000 } } } };
        m_file = m_folder + "/" + name + ".json";
        std::ofstream(m_file) << m_settings.dump(2);
    }
    ~Daemon() { kill(SIGKILL); }

    void start()
    {
        const std::string log = m_folder + "/" + m_settings["node_name"].get<std::string>() + ".log";
        const std::string metrics = m_ip + ":" + std::to_string(m_ports.metrics);
        const std::string file = m_file;
        const rlim_t descriptors = m_settings["limits"].value("max_fds", 4100);
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing is left running, however the case ends.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            const rlimit most { descriptors, descriptors };
            setrlimit(RLIMIT_NOFILE, &most);
            const std::string settings = "WHINYARD_SETTINGS=" + file;
            const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
            char* environment[] = { const_cast<char*>(settings.c_str()), const_cast<char*>(path.c_str()), nullptr };
            execle("target/apps/whinyardd/whinyardd", "target/apps/whinyardd/whinyardd", "--platform-settings", file.c_str(), "--tuning", "deploy/tuning.json", "--metrics", metrics.c_str(), nullptr, environment);
            std::_Exit(127);
        }
    }
    void kill(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        if (signal == SIGKILL) {
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    // Returns whether the process has ended by itself.
    bool hasEnded()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid <= 0;
    }
    int status() const { return m_status; }
    bool isReady(int ms = 500) const
    {
        Connection connection;
        Message reply;
        return connection.connect(m_ip, m_ports.ready, ms) && connection.write(text("GET /api/ready HTTP/1.1", { { "Host", "x" }, { "Connection", "close" } }, "")) && connection.readHead(reply, ms) && reply.status() == 200;
    }
    void awaitReady()
    {
        for (int i = 0; i < 200; ++i) {
            if (isReady())
                return;
            if (hasEnded())
                cannotRun("a daemon has ended at its start");
            pause(50);
        }
        cannotRun("a daemon isn't ready within 10 s");
    }
    // Resident memory, as the system tells it.
    long memoryKb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }
    const std::string& ip() const { return m_ip; }
    int front() const { return m_ports.front; }
    pid_t pid() const { return m_pid; }

private:
    const std::string m_ip;
    const Ports m_ports;
    const std::string m_folder;
    std::string m_file;
    json m_settings;
    pid_t m_pid = 0;
    int m_status = 0;
};

inline json usualLimits() { return { { "cpu_share", 0.25 }, { "cores", 1 }, { "memory_mb", 110 }, { "max_fds", 4100 }, { "link_mbps", 1000.0 }, { "disk_mb", 0 } }; }

inline std::string folderInUse;

// Ends the case, with nothing left behind.
[[noreturn]] inline void finish(int status)
{
    std::error_code ignored;
    if (!folderInUse.empty() && !std::getenv("KEEP"))
        std::filesystem::remove_all(folderInUse, ignored);
    std::_Exit(status);
}

inline std::string newFolder()
{
    rlimit most {}; // Of the case itself; the daemons get max_fds of their settings.
    getrlimit(RLIMIT_NOFILE, &most);
    if (most.rlim_max < 4'100)
        cannotRun("the hard limit of descriptors is below max_fds");
    most.rlim_cur = std::min<rlim_t>(most.rlim_max, 16'384);
    setrlimit(RLIMIT_NOFILE, &most);
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base ? base : "/tmp") + "/review-XXXXXX";
    if (!mkdtemp(name.data()))
        cannotRun("no temporary folder");
    return folderInUse = name;
}

// An engine with an entry in the store. What it does with a request is the case's own.
class Engine {
public:
    using Run = std::function<void(Engine&, const Message&, Connection&)>;

    Engine(Store& store, std::string id, std::string service, int slots, Run run)
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_slots(slots)
        , m_run(std::move(run))
        , m_server("127.0.0.1", 0, [this](Connection& connection) { serve(connection); })
    {
        beat("ready");
    }
    void beat(const std::string& state)
    {
        m_store.put("servers/" + m_id, { { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(m_server.port()) }, { "zone", "z1" }, { "version", "v1" }, { "slots", m_slots }, { "state", state }, { "cold_left_ms", 0 }, { "sequence", ++m_sequence } });
    }
    const std::string& id() const { return m_id; }
    Server& server() { return m_server; }

    // The head of a sound answer.
    Headers headersFor(const Message& request) const
    {
        return { { "X-Request-Id", request.header("X-Request-Id") }, { "X-Server-Signature", m_id + "." + request.header("X-Request-Id") } };
    }
    void answer(const Message& request, Connection& connection, const std::string& body) const
    {
        Headers headers = headersFor(request);
        headers.emplace_back("Content-Length", std::to_string(body.size()));
        connection.write(text("HTTP/1.1 200 OK", headers, body));
    }

private:
    void serve(Connection& connection)
    {
        Message request;
        while (connection.readHead(request, 60'000) && connection.readBody(request, 30'000, false)) {
            if (request.header("X-Expect-Instance") != m_id && !request.header("X-Request-Id").empty()) {
                connection.write(text("HTTP/1.1 421 Misdirected Request", { { "X-Instance-Id", m_id }, { "Content-Length", "0" } }, ""));
                continue;
            }
            m_run(*this, request, connection);
            if (lower(request.header("Connection")) == "close" || !connection.isOpen())
                return;
        }
    }

    Store& m_store;
    const std::string m_id;
    const std::string m_service;
    const int m_slots;
    const Run m_run;
    int m_sequence = 0;
    Server m_server;
};

// A configuration with one plain service of two routes and one of streams, as the pages show one.
inline json usualConfiguration(std::uint64_t version = 1)
{
    return json::parse(R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"once","host":"a.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":5000,"goal_ms":300,"priority":2,"service":"app","max_attempts":1,"public":false,"sticky":false},
{"name":"often","host":"a.example","prefix":"/often/","kind":"idempotent","timeout_ms":5000,"goal_ms":300,"priority":2,"service":"app","max_attempts":3,"public":false,"sticky":false},
{"name":"stream","host":"a.example","prefix":"/stream/","kind":"streaming","timeout_ms":25000,"goal_ms":2000,"priority":1,"service":"lm","max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":1500}],
"services":[{"name":"app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},{"name":"lm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":438579,"kv_token_bytes":163840,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m0","cost":0.35}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1},{"name":"t2","api_keys":["key2"],"priority":1}]})");
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> last { static_cast<std::uint64_t>(std::random_device {}()) << 20 };
    char id[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++last));
    return id;
}

inline std::string requestText(const std::string& method, const std::string& target, const std::string& id, int deadline, const std::string& body, Headers more = {}, const std::string& key = "key1")
{
    Headers headers { { "Host", "a.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadline) }, { "Authorization", "Token " + key } };
    headers.insert(headers.end(), more.begin(), more.end());
    if (method != "GET")
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    return text(method + " " + target + " HTTP/1.1", headers, body);
}

}
