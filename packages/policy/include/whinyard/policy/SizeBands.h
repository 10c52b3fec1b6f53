// Keeps long prompts from holding up short ones: each size has a part of the engines to itself, as large as its part
// of the work.
//
// An engine reads prompts in turn, so a short request that meets a long prompt waits for a multiple of its own time.
// Assigning jobs to hosts by size is known to help where sizes vary widely (Harchol-Balter, Crovella, Murta, "On
// Choosing a Task Assignment Policy for a Distributed Server System", J. Parallel and Distributed Computing 59, 1999).
// The forwarding path asks before each choice of an endpoint. Instances see samples of the same traffic, so they agree
// on the boundary but for an engine or so, without a word. Pure.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/EndpointChoice.h"

#include <chrono>
#include <cstdint>

namespace whinyard::policy {

struct SizeBandSettings {
    std::uint32_t longPrompt = 4'096; // Tokens from which a prompt is long: one chunk of reading of the engines in use.
    double longWeight = 2; // Work of long prompts counts so many times: their engines must not be the ones that queue.
    double smallestPart = 0.2; // Of the endpoints, for either size while it occurs.
    std::chrono::milliseconds memory { 15'000 }; // Time constant of the measured work.
};

class SizeBands {
public:
    explicit SizeBands(const SizeBandSettings& settings = {});

    // Notes the work that a request brings, in any unit that compares requests.
    void note(std::uint32_t promptTokens, double work, SteadyTime now);

    // Returns the endpoints for a prompt of this size: all while only one size occurs.
    EndpointBand bandFor(std::uint32_t promptTokens) const;

private:
    bool isLong(std::uint32_t promptTokens) const { return promptTokens >= m_settings.longPrompt; }

    const SizeBandSettings m_settings;
    double m_longWork = 0; // Decaying sums.
    double m_shortWork = 0;
    SteadyTime m_at;
};

}
