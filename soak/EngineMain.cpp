// An engine of a soak as a process of its own: it writes a line for each run before the run begins, so that its kill hides
// none, and now and then is full and asks for rest, states a rate for a while, breaks a stream off or takes long. SIGUSR1 has
// it state a rate from then on, SIGUSR2 say that it leaves and nothing else.
#include "platform/StandInEngine.h"

#include "whinyard/base/Random.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr double fullShare = 0.03; // Of short spans of time.
constexpr double breakShare = 0.1;
constexpr double limitedShare = 0.02; // Of short spans of time begin one in which a rate is stated.
constexpr int limitedSpans = 20;
constexpr double mostRate = 20;
constexpr double requestedRate = 2; // Stated from SIGUSR1 on; what SoakMain judges by.
constexpr std::uint64_t mostWorkMs = 60;
constexpr std::uint64_t mostPauseMs = 40;

volatile std::sig_atomic_t rateIsRequested = 0;
volatile std::sig_atomic_t leavingIsRequested = 0;

}

int main(int argc, char** argv)
{
    std::string id;
    std::uint64_t seed = 1;
    CLI::App app { "stand-in of an engine for the soak" };
    app.add_option("--id", id)->required();
    app.add_option("--seed", seed);
    CLI11_PARSE(app, argc, argv);

    whinyard::platform::StandInEngine engine(id);
    engine.namesRequests = true;
    engine.onRun = [](const whinyard::net::HttpRequest& request) {
        const auto field = [&](const char* name) { return std::string(whinyard::net::fieldValue(request.fields, name)); };
        std::cout << "run " + field("X-Request-Id") + " " + field("X-Tenant") + "\n"
                  << std::flush;
    };
    engine.onBreak = [](const whinyard::net::HttpRequest& request) {
        std::cout << "broke " + std::string(whinyard::net::fieldValue(request.fields, "X-Request-Id")) + "\n"
                  << std::flush;
    };
    std::cout << "listening on " + whinyard::net::toText(engine.address()) + "\n"
              << std::flush;
    std::signal(SIGUSR1, [](int) { rateIsRequested = 1; });
    std::signal(SIGUSR2, [](int) { leavingIsRequested = 1; });
    engine.restSeconds = 1;
    int limitedFor = 0; // Spans.
    whinyard::Random random(seed);
    // Ends by a signal of the soak.
    while (true) {
        engine.isFull = whinyard::uniform(random) < fullShare;
        if (whinyard::uniform(random) < breakShare)
            engine.breakAfter = static_cast<int>(whinyard::below(random, whinyard::platform::StandInEngine::streamEvents));
        if (limitedFor > 0 && --limitedFor == 0)
            engine.statedRate = -1;
        if (whinyard::uniform(random) < limitedShare) {
            engine.statedRate = 0.5 + mostRate * whinyard::uniform(random);
            limitedFor = limitedSpans;
        }
        if (rateIsRequested)
            engine.statedRate = requestedRate;
        if (leavingIsRequested) {
            engine.saysLeaving = true;
            engine.statedRate = -1;
            engine.isFull = false;
        }
        engine.workMs = static_cast<int>(whinyard::below(random, mostWorkMs));
        engine.pauseMs = static_cast<int>(whinyard::below(random, mostPauseMs));
        std::this_thread::sleep_for(100ms);
    }
}
