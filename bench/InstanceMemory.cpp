// What one instance keeps of the endpoints, and what taking in a list of them costs: heap in use, heap taken from the system, and time.
//
//     InstanceMemory [ENDPOINTS]...
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/peer/RosterList.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace whinyard;

constexpr double megabyte = 1e6;
constexpr std::size_t zones = 6;

std::vector<backing::ListedEndpoint> endpoints(std::size_t count)
{
    std::vector<backing::ListedEndpoint> listed;
    for (std::size_t i = 0; i < count; ++i) {
        backing::ListedEndpoint endpoint;
        char name[16];
        std::snprintf(name, sizeof name, "i-%010zx", i * 2'654'435'761U % (std::size_t { 1 } << 40));
        endpoint.name.value = name;
        endpoint.address = { "10." + std::to_string(i % zones + 1) + "." + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250), 8'000 };
        endpoint.zone.value = "zone-" + std::to_string(i % zones);
        endpoint.service.value = i % 20 == 0 ? "wuno96b" : "huvo11a";
        endpoint.versions = { { "v1" } };
        endpoint.slots = 24;
        endpoint.born = 1'774'695'927'000 + i;
        listed.push_back(endpoint);
    }
    return listed;
}

class Measured {
public:
    explicit Measured(const char* what)
        : m_what(what)
        , m_before(mallinfo2())
        , m_began(std::chrono::steady_clock::now())
    {
    }

    ~Measured()
    {
        const auto took = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_began).count();
        const struct mallinfo2 after = mallinfo2();
        const auto taken = [](const struct mallinfo2& info) { return static_cast<double>(info.arena + info.hblkhd); };
        const auto used = [](const struct mallinfo2& info) { return static_cast<double>(info.uordblks + info.hblkhd); };
        std::printf("  %-34s %9.1f ms  in use %+8.2f MB  from the system %+8.2f MB\n", m_what, took, (used(after) - used(m_before)) / megabyte, (taken(after) - taken(m_before)) / megabyte);
    }

private:
    const char* m_what;
    const struct mallinfo2 m_before;
    const std::chrono::steady_clock::time_point m_began;
};

void measure(std::size_t count)
{
    std::printf("%zu endpoints\n", count);
    std::string encoded;
    {
        const std::vector<backing::ListedEndpoint> listed = endpoints(count);
        encoded = peer::encodeRoster({ { "entry-1" }, 1, {}, 1, listed, {} });
    }
    malloc_trim(0);
    endpoint::EndpointRoster roster;
    endpoint::EndpointDirectory directory({ "zone-1" }, Random(1));
    const SteadyTime now { std::chrono::hours(1) };
    const auto takeChanges = [&] {
        const endpoint::RosterChanges changes = roster.takeChanges();
        directory.change(changes.changed, changes.gone, now);
    };
    {
        const Measured measured("a whole list taken in");
        Failure failure;
        roster.replaceByTold(peer::decodeRoster(encoded, failure)->endpoints);
        takeChanges();
    }
    {
        const Measured measured("the same list again");
        Failure failure;
        roster.replaceByTold(peer::decodeRoster(encoded, failure)->endpoints);
        takeChanges();
    }
    {
        const Measured measured("one endpoint leaves");
        backing::ListedEndpoint leaving = roster.list().front();
        leaving.leaving = true;
        roster.putByTold(leaving);
        takeChanges();
    }
}

}

int main(int argc, char** argv)
{
    if (argc == 1)
        measure(10'000);
    for (int i = 1; i < argc; ++i)
        measure(static_cast<std::size_t>(std::atoi(argv[i])));
    return 0;
}
