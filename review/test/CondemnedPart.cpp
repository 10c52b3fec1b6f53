// Case 1: three of nine engines crash, one after the other, before the first answers of a kind of request have gone on for half a
// second. From then on every request of that kind is refused with 400, at all machines, though all engines are sound again.
#include "Harness.h"

using namespace review;

namespace {

constexpr int engineCount = 9;
constexpr Millis reading { 1'500 }; // Of a prompt, within the route's goal of 2 s.
constexpr Millis eventGap { 100 };
constexpr int events = 20;
constexpr Millis between { 40 }; // Requests of all clients.
constexpr auto length = 25s;

std::string chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

void answer(Engine& engine, Wire& wire, const Request& request)
{
    std::this_thread::sleep_for(reading);
    const int from = std::atoi(request.fields.get("Last-Event-Id").c_str());
    if (!wire.write(engine.headFor(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return;
    for (int id = from + 1; id <= events; ++id) {
        if (!wire.write(chunk("id: " + std::to_string(id) + "\ndata: piece\n\n")))
            return;
        std::this_thread::sleep_for(eventGap);
    }
    wire.write("0\r\n\r\n");
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    Site site;
    json routes = siteRoutes();
    routes[0]["sticky"] = true; // Its requests carry a prompt.
    site.store.write("op/config", configuration(3, routes).dump());
    for (int i = 0; i < engineCount; ++i)
        site.addEngine({ "i-lm-" + std::to_string(i), "lm", i % 2 ? "hall-a" : "hall-b", 64 }, answer);
    site.startAll();
    if (!site.awaitReady()) {
        std::cout << "the daemons did not become ready\n";
        return 2;
    }
    std::this_thread::sleep_for(2s); // They know each other.

    const auto begin = Clock::now();
    std::mutex mutex;
    std::map<int, int> answers;
    int sent = 0;
    int denied = 0;
    int deniedLate = 0; // Of those that were sent when all engines had been sound again for two seconds.
    int late = 0;
    std::vector<std::thread> clients;
    std::thread trouble([&] {
        for (int i = 0; hasTrouble() && i < 3; ++i) {
            std::this_thread::sleep_until(begin + 400ms * (i + 1));
            record.note("engine " + site.engines[static_cast<std::size_t>(i)]->id() + " crashes");
            site.engines[static_cast<std::size_t>(i)]->crash();
        }
        for (int i = 0; hasTrouble() && i < 3; ++i) {
            Engine& engine = *site.engines[static_cast<std::size_t>(i)];
            std::this_thread::sleep_until(begin + 400ms * (i + 1) + 2s);
            engine.unlist();
            engine.startAgain(engine.id() + "b"); // A new incarnation, which is listed anew.
            engine.list();
            record.note("engine " + engine.id() + " is back");
        }
    });
    for (int i = 0; Clock::now() - begin < length; ++i) {
        clients.emplace_back([&, i] {
            Request request = makeRequest("POST", "/stream/2f", 20'000, "prompt of client " + std::to_string(i));
            char prefix[80];
            std::snprintf(prefix, sizeof prefix, "5c1e07a2:512,%x:4870,%x:600", 0x91bd0000 + i % 50, 0xe4400000 + i);
            request.fields.push_back({ "X-Model", "daka510000" });
            request.fields.push_back({ "X-Token-Usage", "5982,60" });
            request.fields.push_back({ "X-Prompt-Prefix", prefix });
            const bool isLate = Clock::now() - begin > 6s;
            const Reply reply = ask(site.front(static_cast<std::size_t>(i) % 3), request, 20s);
            const bool isDenied = reply.status >= 300 && reply.status < 500 && reply.status != 408 && reply.status != 421 && reply.status != 429 && reply.fields.get("X-Server-Signature").empty();
            const std::lock_guard lock(mutex);
            ++answers[reply.status];
            ++sent;
            denied += isDenied;
            late += isLate;
            deniedLate += isLate && isDenied;
        });
        std::this_thread::sleep_for(between);
    }
    for (std::thread& client : clients)
        client.join();
    trouble.join();
    for (const auto& [status, count] : answers)
        std::cout << "status " << status << ": " << count << "\n";
    const int allowed = 5 + sent / 500;
    std::cout << sent << " requests, " << denied << " ended with a 4xx of the system's own, " << allowed << " are allowed; of " << late << " that were sent with all engines sound again, " << deniedLate << "\n";
    record.note("result: sent " + std::to_string(sent) + " denied " + std::to_string(denied) + " allowed " + std::to_string(allowed));
    return denied > allowed ? 1 : 0;
}
