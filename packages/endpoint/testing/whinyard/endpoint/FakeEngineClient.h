// An engine client for tests of the router: a test sets what each call meets, and reads what was sent.
#pragma once

#include "whinyard/endpoint/EngineClient.h"

#include <deque>
#include <functional>

namespace whinyard::endpoint {

// What one call or resume meets. A stream delivers its pieces in order; then it ends, or breaks.
struct FakeEngineTurn {
    AttemptAccount account { .bytesWritten = 100 };
    std::optional<Failure> failure; // Instead of an answer, or after the last piece of a stream.
    std::vector<std::string> pieces; // Of a stream.
    std::uint64_t firstOffset = 0;
    std::vector<std::string> drops; // Reported as dropped pieces before the first one.
    EngineAnswer answer;
    std::function<void()> before; // Runs when the call arrives.
    std::function<void(std::uint64_t offset)> beforePiece; // Runs before each piece and the end mark.
};

class FakeEngineClient final : public EngineClient {
public:
    std::deque<FakeEngineTurn> turns; // Of complete() and open(), in order.
    std::deque<FakeEngineTurn> resumeTurns;
    std::vector<EngineCall> calls;
    std::vector<std::uint64_t> resumedFrom;
    std::vector<AttemptId> cancelled;
    std::vector<net::Address> loadsAsked;

    std::optional<EngineAnswer> complete(const EngineCall& call, AttemptAccount& account, Failure& failure) override
    {
        const FakeEngineTurn turn = take(call);
        account = turn.account;
        if (call.cancellation && call.cancellation->cancelled()) {
            failure = { .kind = ErrorKind::cancelled, .reason = "cancelled", .runState = RunState::unknown };
            return std::nullopt;
        }
        if (turn.failure) {
            failure = *turn.failure;
            return std::nullopt;
        }
        account.answeredWhole = true;
        return turn.answer;
    }

    std::unique_ptr<EngineStream> open(const EngineCall& call, const DropObserver& dropped, AttemptAccount& account, Failure& failure) override
    {
        FakeEngineTurn turn = take(call);
        account = turn.account;
        return begin(std::move(turn), dropped, failure);
    }

    std::unique_ptr<EngineStream> resume(const EngineCall& call, std::uint64_t from, const DropObserver& dropped, Failure& failure) override
    {
        (void)call;
        resumedFrom.push_back(from);
        if (resumeTurns.empty()) {
            failure = { .kind = ErrorKind::endpointFailed, .reason = "no such stream", .runState = RunState::unknown };
            return nullptr;
        }
        FakeEngineTurn turn = std::move(resumeTurns.front());
        resumeTurns.pop_front();
        return begin(std::move(turn), dropped, failure);
    }

    bool cancel(const net::Address&, const AttemptId& attempt, Failure&) override
    {
        cancelled.push_back(attempt);
        return true;
    }

    std::optional<LoadReport> load(const net::Address& engine, Failure&) override
    {
        loadsAsked.push_back(engine);
        return LoadReport {};
    }

private:
    class Stream final : public EngineStream {
    public:
        explicit Stream(FakeEngineTurn turn)
            : m_turn(std::move(turn))
        {
        }

        std::optional<StreamPiece> next(Failure& failure) override
        {
            const std::uint64_t offset = m_turn.firstOffset + m_next;
            if (m_turn.beforePiece)
                m_turn.beforePiece(offset);
            if (m_cancelled) {
                failure = { .kind = ErrorKind::cancelled, .reason = "cancelled", .runState = RunState::unknown };
                return std::nullopt;
            }
            if (m_next < m_turn.pieces.size())
                return StreamPiece { offset, m_turn.pieces[m_next++], false };
            if (!m_turn.failure && !m_cancelled)
                return StreamPiece { offset, {}, true };
            failure = m_turn.failure.value_or(Failure { .kind = ErrorKind::cancelled, .reason = "cancelled" });
            return std::nullopt;
        }

        void cancel() override { m_cancelled = true; }

    private:
        FakeEngineTurn m_turn;
        std::size_t m_next = 0;
        bool m_cancelled = false;
    };

    FakeEngineTurn take(const EngineCall& call)
    {
        calls.push_back(call);
        if (turns.empty()) {
            FakeEngineTurn unexpected;
            unexpected.failure = Failure { .kind = ErrorKind::internalError, .reason = "the test expected no call" };
            return unexpected;
        }
        FakeEngineTurn turn = std::move(turns.front());
        turns.pop_front();
        if (turn.before)
            turn.before();
        return turn;
    }

    static std::unique_ptr<EngineStream> begin(FakeEngineTurn turn, const DropObserver& dropped, Failure& failure)
    {
        for (const std::string& reason : turn.drops)
            dropped(reason);
        if (!turn.failure || !turn.pieces.empty())
            return std::make_unique<Stream>(std::move(turn));
        failure = *turn.failure;
        return nullptr;
    }
};

}
