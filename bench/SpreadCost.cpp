// What it costs each instance of a fleet, and the store, that all learn of endpoints and of operators' records: the model of
// endpoint::SpreadFleet at several sizes, with ten endpoints to an instance.
//
// usage: SpreadCost
// The figures in docs/design/store-to-all.md and docs/CAPACITY.md are its output.
#include "whinyard/endpoint/SpreadFleet.h"

#include <cstdio>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    constexpr int endpointsOfInstance = 10;

    // Lets all start while their endpoints register, and returns how long it took until all knew all.
    std::chrono::milliseconds start(SpreadFleet& fleet)
    {
        fleet.startAll();
        constexpr int steps = 400;
        fleet.repeat(steps, 10ms, [&] { fleet.registerEndpoints(static_cast<int>(fleet.size()) * endpointsOfInstance / steps + 1); });
        std::chrono::milliseconds passed { 0 };
        do {
            fleet.run(100ms);
            passed += 100ms;
        } while ((fleet.behind() > 0 || passed < 4s) && passed < 60s);
        return passed;
    }

    void printStart(int size)
    {
        SpreadFleet fleet(size);
        const std::chrono::milliseconds passed = start(fleet);
        std::printf("start   %5d  all level after %6.1f s  most sent by one %8.0f kB  whole reads %3zu  calls %5zu\n", size, std::chrono::duration<double>(passed).count(), fleet.mostSent() / 1e3, fleet.store().wholeReads, fleet.store().calls);
    }

    void printSteady(const char* name, int size, int leavingAtOnce, std::chrono::milliseconds pause)
    {
        SpreadFleet fleet(size);
        start(fleet);
        fleet.run(5s);
        fleet.clearSent();
        const std::size_t calls = fleet.store().calls;
        constexpr std::chrono::seconds duration { 20 };
        fleet.repeat(static_cast<int>(duration / pause), pause, [&] {
            for (int i = 0; i < leavingAtOnce; ++i)
                fleet.leave();
        });
        fleet.run(duration);
        const double sentBySecond = fleet.mostSent() / static_cast<double>(duration.count());
        const double meanBySecond = fleet.meanSent() / static_cast<double>(duration.count());
        const double callsBySecond = static_cast<double>(fleet.store().calls - calls) / static_cast<double>(duration.count());
        fleet.run(5s);
        std::printf("%s %5d  kB/s sent: busiest %7.2f mean %6.2f  calls/s %5.1f  slowest %5lld ms\n", name, size, sentBySecond / 1e3, meanBySecond / 1e3, callsBySecond, static_cast<long long>(fleet.slowestLeaving().count()));
    }

}
}

int main()
{
    using namespace std::chrono_literals;
    for (const int size : { 9, 30, 100, 300, 985, 2'000 }) {
        whinyard::endpoint::printStart(size);
        whinyard::endpoint::printSteady("one/0.5 s", size, 1, 500ms);
        whinyard::endpoint::printSteady("50/1 s   ", size, 50, 1'000ms);
        whinyard::endpoint::printSteady("200/1 s  ", size, 200, 1'000ms);
        std::fflush(stdout);
    }
}
