#include "whinyard/peer/SendBudget.h"

#include <algorithm>

namespace whinyard::peer {

namespace {

    constexpr double bytesOfMegabit = 1e6 / 8;
    constexpr int parts = 2; // One of them is for others.

    // With more to do than in this time, further answers are refused: others are asked meanwhile.
    constexpr std::chrono::milliseconds longestQueue { 400 };

}

SendBudget::SendBudget(std::uint32_t linkMegabits)
    : m_bytesPerSecond(linkMegabits * bytesOfMegabit / parts)
{
}

std::chrono::milliseconds SendBudget::wait(SteadyTime now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max<std::chrono::nanoseconds>(std::chrono::nanoseconds(0), m_freeAt - now - longestQueue));
}

void SendBudget::note(std::size_t bytes, std::chrono::nanoseconds work, SteadyTime now)
{
    const std::chrono::duration<double> sending(m_bytesPerSecond > 0 ? static_cast<double>(bytes) / m_bytesPerSecond : 0);
    m_freeAt = std::max(m_freeAt, now) + std::max(std::chrono::duration_cast<std::chrono::nanoseconds>(sending), parts * work);
}

}
