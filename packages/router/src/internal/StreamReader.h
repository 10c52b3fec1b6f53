// Reads one version's answer as a stream of pieces, over retries and resumes.
//
// Before the first piece was shown a failed attempt may be made again on another endpoint; after that
// only the same attempt is resumed, so the caller never sees parts of two answers.
#pragma once

#include "internal/AttemptWatch.h"
#include "internal/EngineDispatch.h"

#include <memory>

namespace whinyard::router {

class StreamReader {
public:
    StreamReader(RequestContext& context, const EngineWork& work);
    ~StreamReader();

    // Returns the next piece. Fails with answerCut once a piece was shown and the rest can't be had.
    // Fails with cancelled when the caller is gone.
    std::optional<endpoint::StreamPiece> next(Failure& failure);

    // Notes that the pieces so far were shown to the caller, which forbids another attempt.
    void noteShown() { m_shown = true; }

    bool shown() const { return m_shown; }

    // Tells the engine to drop the attempt, since the caller is gone.
    void abandon();

    // Returns what the stream used so far; the engine's own count where it gave one.
    TokenUsage usage() const;

private:
    bool begin(Failure& failure);
    bool open(Failure& failure);
    bool beginAgain(Failure& failure);
    void closeStream();
    bool resume(Failure& failure);
    void takeIn(const endpoint::StreamPiece& piece);
    void finish();
    endpoint::DropObserver dropObserver();

    RequestContext& m_context;
    const EngineWork& m_work;
    EngineDispatch m_dispatch;
    std::optional<Attempt> m_attempt;
    std::unique_ptr<EndpointUse> m_use;
    net::HttpCancellation m_opening; // Of the attempt whose stream has not begun yet.
    std::unique_ptr<AttemptWatch> m_watch;
    std::unique_ptr<endpoint::EngineStream> m_stream;
    std::uint64_t m_next = 0; // Offset of the first piece that was not delivered.
    SteadyTime m_firstAt; // When the first piece came.
    std::uint32_t m_resumes = 0; // Since the last piece.
    std::optional<TokenUsage> m_reported;
    bool m_shown = false;
};

}
