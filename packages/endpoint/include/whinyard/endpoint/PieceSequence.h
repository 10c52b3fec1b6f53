// Decides for each event of an engine's stream whether it is the next piece of the caller's answer.
//
// The engine client uses it. Late, crossed and duplicated pieces are dropped; a missing piece ends
// the connection, and the router resumes from the first offset that was not delivered.
#pragma once

#include "whinyard/endpoint/Attempt.h"
#include "whinyard/endpoint/EventStream.h"

#include <cstdint>
#include <string>

namespace whinyard::endpoint {

// The data of the event that ends an answer. Its offset is the number of pieces before it.
inline constexpr std::string_view endMark = "[DONE]";

enum class PieceVerdict : std::uint8_t {
    deliver, // The next piece.
    end, // The end mark, right after the last piece.
    drop, // Another attempt's piece, or one that was delivered before.
    gap, // A piece before it is missing.
};

// Follows the order of one attempt's pieces, counted from zero.
class PieceSequence {
public:
    // `next` is the offset of the first piece that is still wanted.
    PieceSequence(const AttemptId& attempt, std::uint64_t next);

    // Judges an event whose id is `<attempt>:<offset>`. `reason` says why it was not delivered.
    PieceVerdict judge(const ServerSentEvent& event, std::string& reason);

    // Returns the offset of the next piece that is wanted.
    std::uint64_t next() const { return m_next; }

private:
    std::string m_attempt;
    std::uint64_t m_next;
};

}
