#include "whinyard/policy/SizeBands.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // A size with less than this share of the work counts as one that doesn't occur.
    constexpr double noticedShare = 0.01;

}

SizeBands::SizeBands(const SizeBandSettings& settings)
    : m_settings(settings)
{
}

void SizeBands::note(std::uint32_t promptTokens, double work, SteadyTime now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - m_at) / m_settings.memory);
    m_longWork *= kept;
    m_shortWork *= kept;
    m_at = now;
    if (isLong(promptTokens))
        m_longWork += m_settings.longWeight * work;
    else
        m_shortWork += work;
}

EndpointBand SizeBands::bandFor(std::uint32_t promptTokens) const
{
    const double total = m_longWork + m_shortWork;
    const double share = total > 0 ? m_longWork / total : 0;
    if (share < noticedShare || share > 1 - noticedShare)
        return {};
    const double boundary = std::clamp(share, m_settings.smallestPart, 1 - m_settings.smallestPart);
    return isLong(promptTokens) ? EndpointBand { 0, boundary } : EndpointBand { boundary, 1 };
}

}
