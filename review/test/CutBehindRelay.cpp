// A machine is partitioned from all engines and reaches them by way of another one, which is killed while it passes on an answer without a
// length. The caller gets the part that had come, as if it were the whole answer.
#include "Harness.h"

using namespace review;

namespace {

constexpr int engineCount = 4;
constexpr std::size_t half = 400; // Bytes of a body of 800, as on the sheet.
constexpr Millis pause { 300 }; // Between the halves; the route's timeout is 800 ms.

std::string bodyFor(const std::string& id)
{
    std::string body;
    while (body.size() < 2 * half)
        body += id + " ";
    return body.substr(0, 2 * half);
}

// Its end is the connection's.
void answer(Engine& engine, Wire& wire, const Request& request)
{
    const std::string body = bodyFor(request.fields.get("X-Request-Id"));
    wire.write(engine.headFor(request) + "Connection: close\r\n\r\n" + body.substr(0, half));
    std::this_thread::sleep_for(pause);
    wire.write(body.substr(half));
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    Site::Options options;
    options.daemons = 2;
    Site site(options);
    site.store.write("op/config", configuration(3, siteRoutes()).dump());
    for (int i = 0; i < engineCount; ++i)
        site.addEngine({ "i-app-" + std::to_string(i), "app", "hall-a", 6 }, answer);
    // Each machine reaches each engine over a link of its own, and reads the address of that link from the store.
    std::vector<std::vector<std::unique_ptr<Link>>> links(2);
    std::vector<Address> stores;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        for (const auto& engine : site.engines)
            links[daemon].push_back(std::make_unique<Link>(Address { site.host(150 + static_cast<int>(daemon)), 0 }, engine->address()));
        stores.push_back(site.store.addView({ site.host(200 + static_cast<int>(daemon)), 0 }, [&, daemon](const std::string& key, const std::string& value) {
            for (std::size_t engine = 0; engine < site.engines.size(); ++engine) {
                if (key == "servers/" + site.engines[engine]->id()) {
                    json entry = json::parse(value);
                    entry["address"] = links[daemon][engine]->address().text();
                    return entry.dump();
                }
            }
            return value;
        }));
    }
    for (std::size_t daemon = 0; daemon < 2; ++daemon)
        site.start(daemon, stores[daemon]);
    if (!site.awaitReady()) {
        std::cout << "the daemons did not become ready\n";
        return 2;
    }
    // Engines write their entries each 1.2 s.
    std::atomic<bool> ends = false;
    std::thread beats([&] {
        for (int beat = 0; !ends; ++beat) {
            std::this_thread::sleep_for(100ms);
            for (const auto& engine : site.engines) {
                if (beat % 12 == 0)
                    engine->list();
            }
        }
    });
    std::this_thread::sleep_for(4s);

    std::mutex mutex;
    std::map<std::string, int> answers;
    int mixed = 0;
    const auto askOnce = [&](bool isIdempotent) {
        const Request request = isIdempotent ? makeRequest("GET", "/whole/2f" + std::to_string(lastRequest), 1'500) : makeRequest("POST", "/once/2f", 1'500, "confirm");
        const std::string id = request.fields.get("X-Request-Id");
        const Reply reply = ask(site.front(0), request, 3s);
        const bool isSuccess = reply.status >= 200 && reply.status < 300 && reply.isWhole;
        const bool isMixed = isSuccess && reply.body != bodyFor(id);
        if (isMixed)
            record.note("success " + id + " ends after " + std::to_string(reply.body.size()) + " of " + std::to_string(2 * half) + " bytes and looks complete");
        const std::lock_guard lock(mutex);
        mixed += isMixed;
        ++answers["status " + std::to_string(reply.status) + " " + reply.how + (isMixed ? ", not the whole body" : "")];
    };
    const auto askMany = [&](int count, Millis between) {
        std::vector<std::thread> clients;
        for (int i = 0; i < count; ++i) {
            clients.emplace_back(askOnce, i % 2 == 0);
            std::this_thread::sleep_for(between);
        }
        for (std::thread& client : clients)
            client.join();
    };

    askMany(10, 50ms);
    if (hasTrouble()) {
        record.note("machine 0 is partitioned from all engines");
        for (const auto& link : links[0])
            link->cut();
    }
    askMany(60, 50ms); // Three seconds, in which it finds out.
    std::thread kill([&] {
        std::this_thread::sleep_for(1'200ms);
        if (hasTrouble()) {
            record.note("the process of machine 1 is killed");
            site.kill(1);
        }
    });
    askMany(40, 50ms);
    kill.join();
    if (hasTrouble()) {
        record.note("the partition heals");
        for (const auto& link : links[0])
            link->heal();
    }
    askMany(20, 50ms);
    ends = true;
    beats.join();
    for (const auto& [what, count] : answers)
        std::cout << what << ": " << count << "\n";
    std::cout << mixed << " successes with a part of the engine's body\n";
    record.note("result: mixed " + std::to_string(mixed));
    return mixed > 0 ? 1 : 0;
}
