// Divides the engines of a service between requests to small models and to larger ones.
//
// An engine makes a token for each of its requests in a step, and a step that reads a large model's long prompt takes so long
// that all other answers of the engine pause. Where small models are apart, first attempts and most answers are spared that.
// It costs places: each kind has only its own, so where many are taken the engines are shared. The forwarding path notes the
// work that it gives and the places that are taken, and asks for each attempt which part of the engines it should keep to.
// Pure; no instance tells another, as all see a sample of the same traffic.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/EndpointChoice.h"

#include <chrono>

namespace whinyard::policy {

struct EngineSplitSettings {
    // How much lower the use of the small models' engines is to be: their answers are asked for first by most requests.
    double smallHeadroom = 1.5;
    double leastPart = 0.1; // Of the engines, for either kind.
    double initialPart = 0.25; // For small models, before any work was noted.
    std::chrono::seconds initialWork { 2 }; // That the initial part weighs as much as.
    // Small models' engines are used for so many times the mean: most answers and all first attempts, on a part of them.
    double concentration = 2.4;
    // Free places of such an engine, on average, from which on engines are divided, and up to which they are shared: requests
    // come in clumps, and instances choose without seeing each other. Between them requests keep to their part the less,
    // the fewer are free. Engines of 64 places with a seventh of them taken gained 0.02 of a day's worth, those of 24 lost as much.
    double dividedFrom = 40;
    double sharedUpTo = 24;
    std::chrono::seconds memory { 10 }; // Time constant after which work is forgotten.
};

class EngineSplit {
public:
    explicit EngineSplit(const EngineSplitSettings& settings = {});

    // Notes that a prompt whose reading takes `work` was given to a small or larger model.
    void note(bool isSmall, std::chrono::nanoseconds work, SteadyTime now);

    // Notes how many places an engine has, and which share of all is taken. Call it at a steady rhythm.
    void noteUse(double placesOfEngine, double takenShare, SteadyTime now);

    // Returns the engines that such requests keep to.
    EndpointPart partFor(bool isSmall, SteadyTime now) const;

private:
    double keptOf(SteadyTime now) const;

    const EngineSplitSettings m_settings;
    double m_small = 0; // Seconds of work, fading.
    double m_large = 0;
    SteadyTime m_notedAt;
    double m_places = 0; // Of an engine; none are known at first, and engines are shared.
    double m_taken = 0; // Share of the places; moving mean.
    SteadyTime m_useAt;
};

}
