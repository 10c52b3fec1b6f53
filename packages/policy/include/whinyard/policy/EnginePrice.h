// The price of engines' time, learnt from the work that waits before them.
//
// A prompt delays all that comes to its engine until the engine has caught up: the work that waits there already, and its
// own reading. The forwarding path notes the backlog at a steady rhythm, and weighs the price where a request could do with
// less of an engine's time. Each instance learns it from the work that all instances tell each other. Pure.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>

namespace whinyard::policy {

struct EnginePriceSettings {
    std::chrono::milliseconds memory { 500 }; // Time constant of the mean: the engines' backlog changes within a second.
    // What others lose, as a share of the worth of the answer that is made in the same time, when an engine is behind by
    // one objective. With a higher share too many poor answers are shown.
    double delayShare = 1.6;
    // A prompt's own reading counts only as far as engines are busy: while others have nothing to read, requests that come
    // meanwhile go there. Otherwise it counts whole.
    bool byBusyShare = false;
};

class EnginePrice {
public:
    explicit EnginePrice(const EnginePriceSettings& settings = {});

    // Notes the mean time until an engine has read the prompts that it was given, and the share of the engines that have any to read.
    void note(std::chrono::nanoseconds backlog, double busyShare, SteadyTime now);

    std::chrono::nanoseconds backlog() const { return std::chrono::nanoseconds(static_cast<std::int64_t>(m_backlog)); }

    // Returns what others lose by a prompt whose reading takes `reading`, for answers that are to begin within `objective`:
    // as a share of the worth that the engine makes in this time.
    double share(std::chrono::nanoseconds reading, std::chrono::nanoseconds objective) const;

private:
    const EnginePriceSettings m_settings;
    double m_backlog = 0; // Nanoseconds; moving mean.
    double m_busyShare = 0; // Of the engines; moving mean.
    SteadyTime m_notedAt;
};

}
