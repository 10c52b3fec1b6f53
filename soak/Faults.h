// Seeded series of faults, several of them side by side, until they are told to end.
#pragma once

#include "Callers.h"
#include "Site.h"

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace whinyard::soak {

class Faults {
public:
    // Both must outlive the object.
    Faults(Site& site, Callers& callers, std::uint64_t seed);

    // Disturbs the site for `duration`, by one series a kind of target, and heals everything.
    void run(std::chrono::milliseconds duration);

    std::vector<Disturbance> disturbances();

    // Returns what daemons did that no fault explains, such as an exit of their own.
    std::vector<std::string> findings();

    // Returns the key that is valid now.
    std::string key();

private:
    void disturbDaemons(Random random, SteadyTime end);
    void disturbEngines(Random random, SteadyTime end);
    void disturbStore(Random random, SteadyTime end);
    void returnStore(Random& random);
    void disturbLinks(Random random, SteadyTime end);
    void crowdDaemons(Random random, SteadyTime end);
    void stopDaemon(std::size_t daemon);
    void killDaemon(std::size_t daemon, std::chrono::milliseconds down);
    void changeKeys();
    std::size_t begin(DisturbedPart part, std::size_t index, std::string what);
    void end(std::size_t disturbance);

    Site& m_site;
    Callers& m_callers;
    const SystemClock m_clock;
    const std::uint64_t m_seed;
    std::mutex m_mutex;
    std::vector<Disturbance> m_disturbances;
    std::vector<std::string> m_findings;
    std::uint64_t m_keys = 1;
};

}
