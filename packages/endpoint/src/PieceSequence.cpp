#include "whinyard/endpoint/PieceSequence.h"

#include <charconv>

namespace whinyard::endpoint {

namespace {

    struct PieceId {
        std::string_view attempt;
        std::uint64_t offset = 0;
    };

    std::optional<PieceId> parsePieceId(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        const std::string_view digits = text.substr(colon + 1);
        PieceId id { .attempt = text.substr(0, colon) };
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), id.offset);
        if (error != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        return id;
    }

}

PieceSequence::PieceSequence(const AttemptId& attempt, std::uint64_t next)
    : m_attempt(toText(attempt))
    , m_next(next)
{
}

PieceVerdict PieceSequence::judge(const ServerSentEvent& event, std::string& reason)
{
    const std::optional<PieceId> id = parsePieceId(event.id);
    if (!id) {
        reason = "the piece names no attempt and offset";
        return PieceVerdict::drop;
    }
    if (id->attempt != m_attempt) {
        reason = "the piece belongs to attempt " + std::string(id->attempt);
        return PieceVerdict::drop;
    }
    if (id->offset < m_next) {
        reason = "piece " + std::to_string(id->offset) + " was delivered before";
        return PieceVerdict::drop;
    }
    if (id->offset > m_next) {
        reason = "piece " + std::to_string(m_next) + " is missing before " + std::to_string(id->offset);
        return PieceVerdict::gap;
    }
    if (event.data == endMark)
        return PieceVerdict::end;
    ++m_next;
    return PieceVerdict::deliver;
}

}
