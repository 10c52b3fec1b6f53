#include "whinyard/policy/StartForecast.h"

#include <algorithm>

namespace whinyard::policy {

StartForecast::StartForecast(SteadyTime startedAt, const StartSettings& settings)
    : m_startedAt(startedAt)
    , m_settings(settings)
{
}

std::chrono::milliseconds StartForecast::holdFor(std::optional<std::chrono::milliseconds> timeLeft) const
{
    if (!timeLeft)
        return m_settings.heldWithoutDeadline;
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(*timeLeft * m_settings.heldPart);
    return std::min(part, m_settings.mostHeld);
}

std::chrono::milliseconds StartForecast::comeBackAfter(SteadyTime now, Random& random) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
    const std::chrono::milliseconds expected = std::clamp(elapsed, m_settings.soonestReturn, m_settings.latestReturn);
    const double factor = 1 + m_settings.spread * (2 * uniform(random) - 1);
    return std::chrono::duration_cast<std::chrono::milliseconds>(expected * factor);
}

}
