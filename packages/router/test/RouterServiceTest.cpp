// Calls of plain services: repeatable ones, and those that run at most once.
#include "whinyard/router/Router.h"

#include "whinyard/router/RouterFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using endpoint::AttemptAccount;
    using endpoint::FakeServiceTurn;

    FakeServiceTurn answered(int status = 200)
    {
        FakeServiceTurn turn;
        turn.response = { .status = status, .fields = { { "Content-Type", "application/json" } }, .body = "{\"done\":true}" };
        return turn;
    }

    FakeServiceTurn failed(const AttemptAccount& account)
    {
        FakeServiceTurn turn;
        turn.account = account;
        turn.failure = Failure { .kind = ErrorKind::endpointFailed, .reason = "planned" };
        return turn;
    }

    constexpr AttemptAccount nothingWritten {};
    constexpr AttemptAccount oneByteWritten { .bytesWritten = 1 };
    constexpr AttemptAccount refusedAsLeaving { .bytesWritten = 9, .answerStarted = true, .refusedAsLeaving = true };

    TEST(RouterServiceTest, RunsAKeyedCallUnderItsIntentAndRecordsTheOutcomeWithItsBill)
    {
        RouterBench bench;
        bench.services.turns = { answered() };
        bench.services.turns[0].before = [&bench] { EXPECT_EQ(bench.intents.admitted.size(), 1U) << "the intent comes before the dispatch"; };
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.response.status, 200);
        EXPECT_EQ(caller.response.body, "{\"done\":true}");
        EXPECT_EQ(caller.field("X-Whinyard-Replayed"), "");
        ASSERT_EQ(bench.services.calls.size(), 1U);
        EXPECT_FALSE(bench.services.calls[0].repeatable);
        EXPECT_EQ(bench.services.calls[0].request.target, "/confirm?x=1");
        EXPECT_EQ(net::fieldValue(bench.services.calls[0].request.fields, "Idempotency-Key"), "k1");
        ASSERT_EQ(bench.intents.finished.size(), 1U);
        EXPECT_EQ(bench.intents.lines[0].billedUnits, 2'000U);
        EXPECT_TRUE(bench.usage.lines.empty()) << "the line stands in the intent's record";
    }

    // Guards against half of an answer told, kept and billed as whole: a dying endpoint closes like one that has sent all of it.
    TEST(RouterServiceTest, TakesAnAnswerWithoutALengthForCutWhereItsEndpointHasEnded)
    {
        for (const net::Listening listening : { net::Listening::no, net::Listening::yes }) {
            RouterBench bench;
            bench.listening.answer = listening;
            bench.services.turns = { answered() };
            bench.services.turns[0].account.endsWithConnection = true;
            EXPECT_EQ(bench.callService("match", "k1").response.status == 200, listening == net::Listening::yes);
        }
    }

    TEST(RouterServiceTest, NeverDispatchesACallThatTheLedgerDidNotGrant)
    {
        struct Case {
            ledger::Admission admission;
            int status;
            std::string kind;
        };
        for (const Case& one : { Case { ledger::Admission::finished, 201, "" }, Case { ledger::Admission::running, 409, "stillRunning" }, Case { ledger::Admission::unknown, 409, "outcomeUnknown" } }) {
            RouterBench bench;
            bench.intents.next.admission = one.admission;
            bench.intents.next.answer = { 201, "text/plain", "first" };
            const FakeResponder caller = bench.callService("match", "k1");
            EXPECT_EQ(caller.response.status, one.status);
            EXPECT_TRUE(bench.services.calls.empty());
            EXPECT_EQ(caller.error().value("kind", ""), one.kind);
            EXPECT_EQ(caller.field("X-Whinyard-Replayed"), one.kind.empty() ? "1" : "");
            EXPECT_EQ(caller.field("Retry-After").empty(), one.admission != ledger::Admission::running);
            if (!one.kind.empty()) {
                EXPECT_EQ(caller.error().value("notRun", true), false) << "the first call may have run";
            }
        }
    }

    TEST(RouterServiceTest, RefusesWithoutRunningWhenTheIntentCannotBeWritten)
    {
        RouterBench bench;
        bench.intents.refusal = Failure { .kind = ErrorKind::storeUnavailable, .reason = "down", .retryAfter = std::chrono::milliseconds(1'500) };
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_EQ(caller.error().value("notRun", false), true);
        EXPECT_EQ(caller.field("Retry-After"), "2") << "seconds, rounded up";
        EXPECT_TRUE(bench.services.calls.empty());
    }

    TEST(RouterServiceTest, DoesNotClaimNotRunOfAKeyThatTheLedgerKnowsOf)
    {
        RouterBench bench;
        bench.intents.refusal = Failure { .kind = ErrorKind::storeUnavailable, .reason = "down", .runState = RunState::unknown };
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.error().value("kind", ""), "storeUnavailable");
        EXPECT_EQ(caller.error().value("notRun", true), false);
    }

    TEST(RouterServiceTest, BillsByTheUsageLedgerWhileTheOutcomeIsNotDurable)
    {
        RouterBench bench;
        bench.services.turns = { answered() };
        bench.intents.finishFailure = Failure { .kind = ErrorKind::storeUnavailable, .reason = "down" };
        EXPECT_EQ(bench.callService("match", "k1").response.status, 200);
        ASSERT_EQ(bench.usage.lines.size(), 1U);
        EXPECT_EQ(bench.usage.lines, bench.intents.lines) << "one line in two places is counted once";
    }

    TEST(RouterServiceTest, RequiresAKeyForACallThatMayNotBeRepeated)
    {
        RouterBench bench;
        EXPECT_EQ(bench.callService("match", "").error().value("kind", ""), "keyRequired");
        EXPECT_EQ(bench.callService("match", std::string(201, 'k')).error().value("kind", ""), "malformedRequest");
        EXPECT_EQ(bench.callService("nothing", "k").error().value("kind", ""), "unknownService");
        EXPECT_TRUE(bench.intents.admitted.empty());
    }

    TEST(RouterServiceTest, MakesAnotherAttemptOnlyWhileNoByteWasWritten)
    {
        RouterBench bench;
        bench.services.turns = { failed(nothingWritten), answered() };
        EXPECT_EQ(bench.callService("match", "k1").response.status, 200);
        EXPECT_EQ(bench.services.calls.size(), 2U);

        bench.services.turns = { failed(oneByteWritten), answered() };
        const FakeResponder caller = bench.callService("match", "k2");
        EXPECT_EQ(caller.error().value("kind", ""), "outcomeUnknown");
        EXPECT_EQ(caller.error().value("notRun", true), false);
        EXPECT_EQ(bench.services.calls.size(), 3U) << "one dispatch that may have run, and none after it";
        EXPECT_EQ(bench.intents.leftUnknown, 1U);
        EXPECT_EQ(bench.intents.released, 0U);
    }

    TEST(RouterServiceTest, ReleasesTheKeyOfACallThatCertainlyHasNotRun)
    {
        RouterBench bench;
        bench.services.turns = { failed(nothingWritten), failed(refusedAsLeaving) };
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.error().value("notRun", false), true) << caller.response.body;
        EXPECT_EQ(bench.intents.released, 1U);
        EXPECT_EQ(bench.intents.leftUnknown, 0U);
    }

    TEST(RouterServiceTest, DispatchesNothingForACustomerThatLostTheServiceMeanwhile)
    {
        RouterBench bench;
        FakeServiceTurn turn = failed(nothingWritten);
        turn.before = [&bench] {
            ++bench.configuration.configuration.revision;
            bench.configuration.configuration.document.customers[0].services.clear();
        };
        bench.services.turns = { turn, answered() };
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.error().value("kind", ""), "forbidden");
        EXPECT_EQ(caller.error().value("notRun", false), true);
        EXPECT_EQ(bench.services.calls.size(), 1U);
        EXPECT_EQ(bench.intents.released, 1U);
    }

    TEST(RouterServiceTest, ForwardsAKeyedCallToTheOwnerAndPassesItsAnswerOn)
    {
        RouterBench bench;
        bench.nameOwner("entry-2");
        bench.peers.answer({ "entry-2" }, [](const peer::Request& request, Failure&) {
            EXPECT_EQ(std::get<peer::ForwardCall>(request).idempotencyKey, "k1");
            EXPECT_EQ(std::get<peer::ForwardCall>(request).path, "/confirm?x=1");
            return peer::Response(peer::ForwardCallAnswer { 201, { { "Content-Type", "text/plain" }, { "X-Whinyard-Replayed", "1" } }, "done" });
        });
        const FakeResponder caller = bench.callService("match", "k1");
        EXPECT_EQ(caller.response.status, 201);
        EXPECT_EQ(caller.response.body, "done");
        EXPECT_EQ(caller.field("X-Whinyard-Replayed"), "1");
        EXPECT_TRUE(bench.services.calls.empty() && bench.intents.admitted.empty());
    }

    TEST(RouterServiceTest, DecidesHereWhenTheOwnerCannot)
    {
        for (const ErrorKind kind : { ErrorKind::peerUnreachable, ErrorKind::shuttingDown, ErrorKind::configurationStale }) {
            RouterBench bench;
            bench.nameOwner("entry-2");
            bench.peers.answer({ "entry-2" }, [kind](const peer::Request&, Failure& failure) -> std::optional<peer::Response> {
                failure = { .kind = kind, .reason = "planned", .runState = RunState::unknown };
                return std::nullopt;
            });
            bench.services.turns = { answered() };
            EXPECT_EQ(bench.callService("match", "k1").response.status, 200) << answerFor(kind).name;
            EXPECT_EQ(bench.intents.admitted.size(), 1U) << "the ledger decides, not the failed forward";
            EXPECT_LE(bench.peers.calls().front().timeout, std::chrono::seconds(5)) << "a paused owner must not hold the call until its deadline";
        }
    }

    TEST(RouterServiceTest, DecidesHereWhenTheOwnerIsSilentForLong)
    {
        RouterBench bench;
        bench.nameOwner("entry-2");
        bench.peers.answer({ "entry-2" }, [&](const peer::Request&, Failure& failure) -> std::optional<peer::Response> {
            bench.clock.advance(bench.peers.calls().back().timeout);
            failure = { .kind = ErrorKind::deadlineExceeded, .reason = "planned", .runState = RunState::unknown };
            return std::nullopt;
        });
        bench.services.turns = { answered() };
        EXPECT_EQ(bench.callService("match", "k1").response.status, 200);
    }

    TEST(RouterServiceTest, TellsWhatTheOwnerKnowsOfTheExecution)
    {
        for (const RunState state : { RunState::notRun, RunState::unknown }) {
            RouterBench bench;
            bench.nameOwner("entry-2");
            bench.peers.answer({ "entry-2" }, [state](const peer::Request&, Failure&) { return peer::Response(peer::Refused { ErrorKind::deadlineExceeded, "planned", {}, state }); });
            const FakeResponder caller = bench.callService("match", "k1");
            EXPECT_EQ(caller.error().value("notRun", state != RunState::notRun), state == RunState::notRun);
            EXPECT_TRUE(bench.services.calls.empty());
        }
    }

    TEST(RouterServiceTest, RunsWhatIsForwardedToItUnlessItsConfigurationIsOlder)
    {
        RouterBench bench;
        bench.services.turns = { answered() };
        peer::ForwardCall call;
        call.request = { 9, 9 };
        call.customer = { "faculty" };
        call.service = { "match" };
        call.method = "POST";
        call.path = "/confirm";
        call.idempotencyKey = "k1";
        call.timeLeft = std::chrono::seconds(5);
        call.configurationRevision = 6;
        Failure failure;
        EXPECT_FALSE(bench.router.handleForwarded(call, failure));
        EXPECT_EQ(failure.kind, ErrorKind::configurationStale);
        EXPECT_EQ(failure.runState, RunState::notRun);
        call.configurationRevision = 5;
        const auto answer = bench.router.handleForwarded(call, failure);
        ASSERT_TRUE(answer) << failure.reason;
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(bench.intents.lines.at(0).identity, toText(call.request));
        bench.router.drain();
        EXPECT_FALSE(bench.router.handleForwarded(call, failure));
        EXPECT_EQ(failure.kind, ErrorKind::shuttingDown);
    }

    TEST(RouterServiceTest, RepeatsARepeatableCallWithoutARecord)
    {
        RouterBench bench;
        bench.services.turns = { failed(oneByteWritten), answered(404) };
        const FakeResponder caller = bench.callService("stock", "");
        EXPECT_EQ(caller.response.status, 404) << "the service's own answer is passed on";
        EXPECT_EQ(bench.services.calls.size(), 2U);
        EXPECT_TRUE(bench.intents.admitted.empty());
        EXPECT_EQ(bench.usage.lines.size(), 1U);
    }

}
}
