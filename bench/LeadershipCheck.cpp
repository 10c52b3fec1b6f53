// Runs every order of the steps of two instances that may lead, with lost answers and freezes, and says how many there were.
//
//     leadership-check [STEPS] [FAULTS]
#include "whinyard/leadership/LeadershipExplorer.h"

#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv)
{
    whinyard::leadership::ExplorerSettings settings;
    if (argc > 1)
        settings.steps = static_cast<std::size_t>(std::atoi(argv[1]));
    if (argc > 2)
        settings.faults = static_cast<std::uint32_t>(std::atoi(argv[2]));
    const whinyard::leadership::ExplorerResult result = whinyard::leadership::explore(settings);
    std::printf("steps %zu, faults %u: %llu runs, %llu calls of the provider\n", settings.steps, settings.faults, static_cast<unsigned long long>(result.runs), static_cast<unsigned long long>(result.calls));
    if (result.violation)
        std::printf("broken: %s\n", result.violation->c_str());
    return result.violation ? EXIT_FAILURE : EXIT_SUCCESS;
}
