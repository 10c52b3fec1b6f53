// Bounds the bytes of whole answers that an instance holds at once.
//
// An answer that isn't a stream is held until all of it is there, so that one that breaks off can be repeated, and until its caller has taken it.
// Where all of them together exceed the bound, the largest that is still being read is given up: the answers of an endpoint that sends without
// end are larger than the others.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace whinyard::router {

class AnswerMemory {
public:
    // No answer of this size or less is given up, nor refused for others.
    static constexpr std::size_t smallAnswer = 64 * 1024;

    // The part that one answer has, from its first byte until its caller has it.
    class Share {
    public:
        // `giveUp` ends the reading; it is called from another fiber, at most once. The memory must outlive the share.
        Share(AnswerMemory& memory, std::function<void()> giveUp);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // Takes note that the answer holds `bytes` now. Returns false where it has been given up, for another one or just now.
        bool resize(std::size_t bytes);

        // The answer is complete: it isn't given up any more.
        void complete() { m_isComplete = true; }

    private:
        friend class AnswerMemory;

        void drop();

        AnswerMemory& m_memory;
        const std::function<void()> m_giveUp;
        std::size_t m_bytes = 0;
        bool m_isComplete = false;
        bool m_isGivenUp = false;
    };

    // Without a limit where it is 0.
    explicit AnswerMemory(std::size_t limit)
        : m_limit(limit)
    {
    }

    std::size_t bytes() const { return m_bytes; }
    std::size_t givenUp() const { return m_givenUp; } // Answers, since the start.

private:
    Share* largest() const;

    const std::size_t m_limit;
    std::size_t m_bytes = 0;
    std::size_t m_givenUp = 0;
    std::set<Share*> m_shares;
};

}
