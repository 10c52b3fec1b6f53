// Tells which sequence numbers of one sender were received before.
//
// Source: RFC 4303, section 3.4.3, with words that are cleared as the window moves on (RFC 6479).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace whinyard::peer::internal {

class ReplayWindow {
public:
    static constexpr std::uint64_t size = 4'096;

    // Takes a number. Returns false when it was taken before or is too old to tell.
    bool take(std::uint64_t sequence)
    {
        if (sequence > m_highest)
            moveTo(sequence);
        else if (m_highest - sequence >= size)
            return false;
        std::uint64_t& word = m_words[wordOf(sequence)];
        const std::uint64_t bit = std::uint64_t(1) << (sequence % wordBits);
        const bool isNew = (word & bit) == 0;
        word |= bit;
        return isNew;
    }

private:
    static constexpr std::uint64_t wordBits = 64;
    static constexpr std::uint64_t wordCount = size / wordBits + 1; // One more, which is cleared in advance.

    static std::size_t wordOf(std::uint64_t sequence) { return static_cast<std::size_t>(sequence / wordBits % wordCount); }

    void moveTo(std::uint64_t sequence)
    {
        const std::uint64_t from = m_highest / wordBits;
        const std::uint64_t to = sequence / wordBits;
        const std::uint64_t first = to - from > wordCount ? to - wordCount : from;
        for (std::uint64_t word = first + 1; word <= to; ++word)
            m_words[word % wordCount] = 0;
        m_highest = sequence;
    }

    std::uint64_t m_highest = 0;
    std::array<std::uint64_t, wordCount> m_words {};
};

}
