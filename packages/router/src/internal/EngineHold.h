// Counts the memory of one attempt at its engine, and its end exactly once.
#pragma once

#include "whinyard/endpoint/EndpointDirectory.h"

#include <utility>

namespace whinyard::router {

class EngineHold {
public:
    EngineHold() = default;

    // Counts the memory now. The directory must outlive the object.
    EngineHold(endpoint::EndpointDirectory& directory, const EndpointName& endpoint, std::uint32_t tokens, SteadyTime until, double toldTo)
        : m_directory(&directory)
        , m_hold(directory.holdMemory(endpoint, tokens, until, toldTo))
    {
    }

    EngineHold(EngineHold&& other) noexcept
        : m_directory(std::exchange(other.m_directory, nullptr))
        , m_hold(other.m_hold)
    {
    }

    EngineHold& operator=(EngineHold&& other) noexcept
    {
        release();
        m_directory = std::exchange(other.m_directory, nullptr);
        m_hold = other.m_hold;
        return *this;
    }

    EngineHold(const EngineHold&) = delete;
    EngineHold& operator=(const EngineHold&) = delete;
    ~EngineHold() { release(); }

    void release()
    {
        if (auto* const directory = std::exchange(m_directory, nullptr))
            directory->releaseMemory(m_hold);
    }

private:
    endpoint::EndpointDirectory* m_directory = nullptr;
    policy::EngineMemory::Hold m_hold;
};

}
