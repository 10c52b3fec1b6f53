// An engine of a soak as a process of its own: it writes a line for each run before the run begins, so that its kill hides
// none, and now and then is full, breaks a stream off or takes long.
#include "platform/StandInEngine.h"

#include "whinyard/base/Random.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr double fullShare = 0.03; // Of short spans of time.
constexpr double breakShare = 0.1;
constexpr std::uint64_t mostWorkMs = 60;
constexpr std::uint64_t mostPauseMs = 40;

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
    std::cout << "listening on " + whinyard::net::toText(engine.address()) + "\n"
              << std::flush;
    whinyard::Random random(seed);
    // Ends by a signal of the soak.
    while (true) {
        engine.isFull = whinyard::uniform(random) < fullShare;
        if (whinyard::uniform(random) < breakShare)
            engine.breakAfter = static_cast<int>(whinyard::below(random, whinyard::platform::StandInEngine::streamEvents));
        engine.workMs = static_cast<int>(whinyard::below(random, mostWorkMs));
        engine.pauseMs = static_cast<int>(whinyard::below(random, mostPauseMs));
        std::this_thread::sleep_for(100ms);
    }
}
