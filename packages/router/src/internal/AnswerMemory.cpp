#include "internal/AnswerMemory.h"

#include <utility>

namespace whinyard::router {

AnswerMemory::Share::Share(AnswerMemory& memory, std::function<void()> giveUp)
    : m_memory(memory)
    , m_giveUp(std::move(giveUp))
{
    m_memory.m_shares.insert(this);
}

AnswerMemory::Share::~Share()
{
    m_memory.m_shares.erase(this);
    m_memory.m_bytes -= m_bytes;
}

bool AnswerMemory::Share::resize(std::size_t bytes)
{
    if (m_isGivenUp)
        return false;
    m_memory.m_bytes += bytes - m_bytes;
    m_bytes = bytes;
    while (m_memory.m_limit > 0 && m_memory.m_bytes > m_memory.m_limit && !m_isGivenUp) {
        Share* largest = m_memory.largest();
        if (!largest)
            break;
        largest->drop();
        if (largest != this)
            largest->m_giveUp();
    }
    return !m_isGivenUp;
}

// Its bytes count no longer: they are freed as soon as its fiber goes on.
void AnswerMemory::Share::drop()
{
    m_isGivenUp = true;
    m_memory.m_bytes -= std::exchange(m_bytes, 0);
    ++m_memory.m_givenUp;
}

AnswerMemory::Share* AnswerMemory::largest() const
{
    Share* largest = nullptr;
    for (Share* share : m_shares) {
        const bool mayGo = !share->m_isComplete && !share->m_isGivenUp && share->m_bytes > smallAnswer;
        if (mayGo && (!largest || share->m_bytes > largest->m_bytes))
            largest = share;
    }
    return largest;
}

}
