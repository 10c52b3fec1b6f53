// Eight of nine machines are lost, and the last one runs out of descriptors for good. See claim.txt.
#include "World.h"

#include <dirent.h>

using namespace review;

namespace {

constexpr int machines = 9;
constexpr int lostMachines = 8;
constexpr int modelEngines = 18;
constexpr int plainEngines = 4;
constexpr double streamsPerSecond = 96.6; // As the sheet has them, of all kinds.
constexpr double plainPerSecond = 33.8;
constexpr int streamCallers = 70;
constexpr int plainCallers = 30;
constexpr int streamEvents = 4;
constexpr int eventMs = 30;
constexpr int workMs = 60;
constexpr int beforeSeconds = 8;
constexpr int afterSeconds = 60;
constexpr int contactSeconds = 3;
constexpr std::size_t subjects = 300; // Of prompts: the sheet has 155 to 651 for each kind of request.
constexpr double leastShare = 0.75; // By the rule.

struct Second {
    std::atomic<int> served { 0 }; // At the first attempt.
    std::atomic<int> refused { 0 }; // Read by a machine and not served.
    std::atomic<int> unread { 0 }; // Refused connections, and those that closed with the request unread.
};

std::array<Second, 200> byRequests;
double trafficBegan = 0;

Second& present() { return byRequests[std::min<std::size_t>(byRequests.size() - 1, static_cast<std::size_t>(std::max(0.0, seconds() - trafficBegan)))]; }

int descriptorsOf(pid_t process)
{
    int count = 0;
    if (DIR* folder = opendir(("/proc/" + std::to_string(process) + "/fd").c_str())) {
        while (readdir(folder))
            ++count;
        closedir(folder);
    }
    return count;
}

// "`Connection: close` appears in the responses of an engine that is leaving, and occasionally in other responses." The connection is
// closed after each answer, as the daemon's request asks for.
void addOccasionalClose(Headers& headers)
{
    static std::atomic<int> answers { 0 };
    if (++answers % 20 == 0)
        headers.emplace_back("Connection", "close");
}

void servePlain(Engine& engine, const Message& request, Connection& connection)
{
    Headers headers = engine.headersFor(request);
    if (!request.header("X-Request-Id").empty())
        pause(workMs);
    headers.emplace_back("Content-Length", "800");
    addOccasionalClose(headers);
    connection.write(text("HTTP/1.1 200 OK", headers, std::string(800, 'x')));
}

void serveStream(Engine& engine, const Message& request, Connection& connection)
{
    Headers headers = engine.headersFor(request);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    addOccasionalClose(headers);
    if (!connection.write(text("HTTP/1.1 200 OK", headers, "")))
        return;
    for (int event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= streamEvents; ++event) {
        const std::string bytes = "id: " + std::to_string(event) + "\ndata: abcdef\n\n";
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        if (connection.hasClosed() || !connection.write(size + bytes + "\r\n"))
            return;
        pause(eventMs);
    }
    connection.write("0\r\n\r\n");
}

std::string subject(std::size_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%zx", 0x5000 + number % subjects);
    return text;
}

// The platform's rotation: a daemon without a 200 at two questions in a row gets no new connections; with none in, all are used.
class Rotation {
public:
    explicit Rotation(std::vector<std::unique_ptr<Daemon>>& daemons)
        : m_daemons(daemons)
        , m_misses(daemons.size())
    {
    }
    void ask()
    {
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < m_daemons.size(); ++i)
            threads.emplace_back([this, i] { m_misses[i] = m_daemons[i]->isReady(900) ? 0 : m_misses[i] + 1; });
        for (std::thread& thread : threads)
            thread.join();
    }
    const Daemon& drawn(std::size_t hash) const
    {
        std::vector<std::size_t> in;
        for (std::size_t i = 0; i < m_misses.size(); ++i) {
            if (m_misses[i] < 2)
                in.push_back(i);
        }
        return *m_daemons[in.empty() ? hash % m_daemons.size() : in[hash % in.size()]];
    }

private:
    std::vector<std::unique_ptr<Daemon>>& m_daemons;
    std::vector<std::atomic<int>> m_misses;
};

}

int main(int count, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record.open(count > 1 ? arguments[1] : "record.txt");
    const std::string folder = newFolder();
    Store store;
    store.put("op/config", usualConfiguration());
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < modelEngines; ++i)
        engines.push_back(std::make_unique<Engine>(store, "i-lm" + std::to_string(i), "lm", 64, serveStream));
    for (int i = 0; i < plainEngines; ++i)
        engines.push_back(std::make_unique<Engine>(store, "i-app" + std::to_string(i), "app", 6, servePlain));
    const Ports ports = freePorts(machines);
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < machines; ++i) {
        daemons.push_back(std::make_unique<Daemon>(i, ports, store.port(), folder, usualLimits()));
        daemons.back()->start();
    }
    for (const auto& daemon : daemons)
        daemon->awaitReady();
    Rotation rotation(daemons);
    std::atomic<bool> stop { false };
    std::thread platform([&] {
        while (!stop) {
            rotation.ask();
            pause(1'000);
        }
    });
    pause(4'000);

    trafficBegan = seconds();
    const auto call = [&](std::size_t number, bool isStream, double everySeconds) {
        Connection connection;
        std::size_t tries = number * 7919;
        double next = seconds() + everySeconds * static_cast<double>(number % 97) / 97;
        while (!stop) {
            if (const double wait = next - seconds(); wait > 0)
                pause(static_cast<int>(wait * 1e3));
            next = std::max(next + everySeconds, seconds() - everySeconds);
            if (connection.isOpen() && connection.hasClosed())
                connection.close();
            if (!connection.isOpen()) {
                const Daemon& daemon = rotation.drawn(++tries);
                if (!connection.connect(daemon.ip(), daemon.front(), 1'000)) {
                    ++present().unread;
                    continue;
                }
            }
            const std::string id = newId();
            tries += 1;
            const std::string request = isStream ? requestText("POST", "/stream/a", id, 20'000, "prompt " + id, { { "X-Model", "m0" }, { "X-Token-Usage", "800,24" }, { "X-Prompt-Prefix", subject(tries) + ":400," + id.substr(8) + ":400" } }) : requestText("POST", "/once/a", id, 1'500, std::string(600, 'b'));
            Message answer;
            const bool hasHead = connection.write(request) && connection.readHead(answer, 3'000);
            const bool isServed = hasHead && connection.readBody(answer, 3'000, true) && answer.status() == 200;
            ++(isServed ? present().served : hasHead ? present().refused
                                                     : present().unread);
            if (!isServed && (!hasHead || present().refused % 40 == 1))
                record.say("%s: %s %s", id.c_str(), hasHead ? std::to_string(answer.status()).c_str() : "unread", answer.body.substr(0, 160).c_str());
            const bool opensAnew = number % 5 == 0; // The others keep their connections.
            if (!hasHead || opensAnew || lower(answer.header("Connection")) == "close")
                connection.close();
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < streamCallers; ++i)
        threads.emplace_back(call, static_cast<std::size_t>(i), true, streamCallers / streamsPerSecond);
    for (int i = 0; i < plainCallers; ++i)
        threads.emplace_back(call, static_cast<std::size_t>(1'000 + i), false, plainCallers / plainPerSecond);
    pause(beforeSeconds * 1'000);
    if (hasTrouble()) {
        for (int i = 1; i <= lostMachines; ++i)
            daemons[static_cast<std::size_t>(i)]->kill(SIGKILL);
        record.say("%d of %d machines are lost", lostMachines, machines);
    }
    for (int second = 0; second < afterSeconds; ++second) {
        pause(1'000);
        if (second % 5 == 4)
            record.say("the first machine: %d descriptors (max_fds 4100), %ld kB, ready: %s, ended by itself: %s", descriptorsOf(daemons[0]->pid()), daemons[0]->memoryKb(), daemons[0]->isReady() ? "yes" : "no", daemons[0]->hasEnded() ? "yes" : "no");
    }
    stop = true;
    for (std::thread& thread : threads)
        thread.join();
    platform.join();
    for (const auto& daemon : daemons)
        daemon->kill(SIGKILL);

    const auto share = [](int from, int to) {
        int served = 0;
        int read = 0;
        for (int second = from; second < to; ++second) {
            const Second& one = byRequests[static_cast<std::size_t>(second)];
            served += one.served;
            read += one.served + one.refused;
        }
        return read > 0 ? static_cast<double>(served) / read : 0.0;
    };
    for (int second = 0; second < beforeSeconds + afterSeconds; ++second) {
        const Second& one = byRequests[static_cast<std::size_t>(second)];
        record.say("second %2d: served %3d, read and not served %3d, unread %3d", second, one.served.load(), one.refused.load(), one.unread.load());
    }
    const double before = share(2, beforeSeconds);
    const double after = share(beforeSeconds + contactSeconds, beforeSeconds + afterSeconds);
    record.say("of the requests that a machine read, served at the first attempt: %.3f before, %.3f from contact_ms after on (at least %.3f)", before, after, leastShare * before);
    finish(after < leastShare * before ? 1 : 0);
}
