// The cost of the HTTP path of `net` alone, on the server's thread: short requests, and stream events that a
// relay reads from one server and writes to its caller. `cpu_us` is the processor time of the measured duty for each
// request or event; its inverse is what one core can do.
#include "whinyard/net/CarriedBytes.h"
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <ctime>
#include <future>

namespace whinyard::net {

namespace {

    const Address loopback { "127.0.0.1", 0 };
    constexpr std::size_t eventsPerStream = 500;
    constexpr std::size_t requestsPerConnection = 200;

    // Returns the processor time that the duty's thread has used.
    double threadMicroseconds(Duty& duty)
    {
        return *callOn(duty, [] {
            timespec time {};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
        });
    }

    // A server on a duty of its own.
    class Served {
    public:
        Served(const char* name, HttpHandler handler)
            : duty(name)
        {
            runOn(duty, [&] {
                Failure failure;
                server = HttpServer::open(duty, loopback, {}, std::move(handler), failure);
                address = server->address();
            });
        }
        ~Served()
        {
            runOn(duty, [&] { server.reset(); });
        }
        Served(const Served&) = delete;
        Served& operator=(const Served&) = delete;

        Duty duty;
        std::unique_ptr<HttpServer> server;
        Address address;
    };

    // Runs `function` on `count` fibers of a client duty and waits for all.
    void runFibers(Duty& duty, std::size_t count, const std::function<void(HttpClient&)>& function)
    {
        std::promise<void> finished;
        std::size_t open = count;
        std::unique_ptr<HttpClient> client;
        runOn(duty, [&] {
            client = HttpClient::create(duty);
            for (std::size_t i = 0; i < count; ++i) {
                duty.spawn([&] {
                    function(*client);
                    if (--open == 0)
                        finished.set_value();
                });
            }
        });
        finished.get_future().wait();
        runOn(duty, [&] { client.reset(); });
    }

    void shortRequests(benchmark::State& state)
    {
        Served served("server", [](const HttpRequest& request, HttpResponder& responder) {
            responder.send({ 200, { { "Content-Type", "application/json" } }, request.body });
        });
        Duty caller("caller");
        const auto connections = static_cast<std::size_t>(state.range(0));
        const HttpRequest request { "POST", "/v1/chat/completions", { { "Authorization", "Bearer sample-key" }, { "Content-Type", "application/json" } }, std::string(200, 'x') };
        std::size_t total = 0;
        const double before = threadMicroseconds(served.duty);
        for (auto _ : state) {
            runFibers(caller, connections, [&](HttpClient& client) {
                for (std::size_t i = 0; i < requestsPerConnection; ++i) {
                    HttpCallProgress progress;
                    Failure failure;
                    if (!client.call(served.address, request, {}, progress, failure))
                        state.SkipWithError(failure.reason.c_str());
                }
            });
            total += connections * requestsPerConnection;
        }
        state.SetItemsProcessed(static_cast<std::int64_t>(total));
        state.counters["cpu_us"] = (threadMicroseconds(served.duty) - before) / static_cast<double>(total);
    }
    BENCHMARK(shortRequests)->Arg(1)->Arg(64)->Arg(1'000)->UseRealTime()->Unit(benchmark::kMillisecond);

    // Passes every piece of the upstream's answer on.
    void relay(HttpClient& client, const Address& upstream, const HttpRequest& request, HttpResponder& responder)
    {
        HttpCallProgress progress;
        Failure failure;
        const auto stream = client.open(upstream, request, {}, progress, failure);
        if (!stream || !responder.begin(stream->head()))
            return;
        for (auto piece = stream->read(failure); piece; piece = stream->read(failure)) {
            if (piece->empty()) {
                responder.end();
                return;
            }
            if (!responder.write(*piece))
                return;
        }
    }

    // The second argument is the engine's pause after each event, in milliseconds; without one the relay is the
    // slowest of the three and events pile up before it.
    void relayedEvents(benchmark::State& state)
    {
        const std::string event = "id: 0011223344556677-1:12\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" placement\"},\"finish_reason\":null}]}\n\n";
        const std::chrono::milliseconds pause(state.range(1));
        Served engine("engine", [&](const HttpRequest&, HttpResponder& responder) {
            responder.begin({ 200, { { "Content-Type", "text/event-stream" } }, {} });
            for (std::size_t i = 0; i < eventsPerStream; ++i) {
                responder.write(event);
                if (pause.count() > 0)
                    sleepFor(pause);
            }
            responder.end();
        });
        std::unique_ptr<HttpClient> client;
        Served router("relay", [&](const HttpRequest& request, HttpResponder& responder) { relay(*client, engine.address, request, responder); });
        runOn(router.duty, [&] { client = HttpClient::create(router.duty); });
        Duty caller("caller");
        const auto streams = static_cast<std::size_t>(state.range(0));
        std::size_t total = 0;
        const double before = threadMicroseconds(router.duty);
        for (auto _ : state) {
            runFibers(caller, streams, [&](HttpClient& callerClient) {
                HttpCallProgress progress;
                Failure failure;
                const auto stream = callerClient.open(router.address, {}, {}, progress, failure);
                std::optional<std::string> piece;
                while (stream && (piece = stream->read(failure)) && !piece->empty()) { }
                if (!piece)
                    state.SkipWithError(failure.reason.c_str());
            });
            total += streams * eventsPerStream;
        }
        state.SetItemsProcessed(static_cast<std::int64_t>(total));
        state.counters["cpu_us"] = (threadMicroseconds(router.duty) - before) / static_cast<double>(total);
        runOn(router.duty, [&] { client.reset(); });
    }
    BENCHMARK(relayedEvents)->Args({ 10, 2 })->Args({ 100, 2 })->Args({ 1'000, 2 })->Args({ 100, 0 })->UseRealTime()->Unit(benchmark::kMillisecond)->Iterations(4);

    // Answers that a ConnectRelay passes on. `relay_us` and `client_us` are processor time for each, `sent_bytes` what the relay sends.
    void connectRelay(benchmark::State& state)
    {
        const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
        Served server("server", [&](const HttpRequest&, HttpResponder& responder) { responder.send({ 200, {}, body }); });
        Duty relaying("relay");
        Duty caller("caller");
        std::unique_ptr<ConnectRelay> relay;
        HttpCallOptions options;
        options.freshConnection = true;
        options.lastRequest = true;
        runOn(relaying, [&] {
            Failure failure;
            relay = ConnectRelay::open(
                relaying, loopback, {}, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                [](const RelayedConnect&, const RelayedResult&) {}, failure);
            options.relay = relay->address();
        });
        constexpr std::size_t answersEach = 50;
        constexpr std::size_t fibers = 4;
        std::size_t total = 0;
        const double relayBefore = threadMicroseconds(relaying);
        const double callerBefore = threadMicroseconds(caller);
        for (auto _ : state) {
            runFibers(caller, fibers, [&](HttpClient& client) {
                for (std::size_t i = 0; i < answersEach; ++i) {
                    HttpCallProgress progress;
                    Failure failure;
                    if (!client.call(server.address, {}, options, progress, failure))
                        state.SkipWithError(failure.reason.c_str());
                }
            });
            total += fibers * answersEach;
        }
        const auto each = [total](double sum) { return sum / static_cast<double>(total); };
        state.counters["relay_us"] = each(threadMicroseconds(relaying) - relayBefore);
        state.counters["client_us"] = each(threadMicroseconds(caller) - callerBefore);
        state.counters["sent_bytes"] = each(static_cast<double>(callOn(relaying, [] { return carriedBytes(); })->sent));
        runOn(relaying, [&] { relay.reset(); });
    }
    BENCHMARK(connectRelay)->Arg(1'000)->Arg(64'000)->Arg(1'024'000)->UseRealTime()->Unit(benchmark::kMillisecond)->Iterations(10);

}

}
