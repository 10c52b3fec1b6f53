// The few endpoints that a choice compares, each once and with the reason for it.
#pragma once

#include "whinyard/policy/EndpointChoice.h"

#include <array>
#include <cstddef>
#include <span>

namespace whinyard::policy {

struct Candidate {
    EndpointIndex endpoint;
    ChoiceReason reason;
    double cachedShare; // Of the prompt.
};

// A fixed list without doubles; the first reason given for an endpoint stays.
class Candidates {
public:
    void add(EndpointIndex endpoint, ChoiceReason reason, double cachedShare)
    {
        if (m_count == most)
            return;
        for (const Candidate& known : list()) {
            if (known.endpoint == endpoint)
                return;
        }
        m_list[m_count++] = { endpoint, reason, cachedShare };
    }

    std::span<const Candidate> list() const { return { m_list.data(), m_count }; }

private:
    static constexpr std::size_t most = 32;
    std::array<Candidate, most> m_list;
    std::size_t m_count = 0;
};

}
