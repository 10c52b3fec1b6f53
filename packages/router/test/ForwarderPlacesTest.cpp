// Permits for a scarce service on the path of a request: asked for before each attempt, and given back once, however it ends.
#include "whinyard/router/FakePlaceBroker.h"
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

#include <functional>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using config::RequestKind;
    using policy::EndpointOutcome;

    struct PlacesBench {
        FakePlaceBroker places;
        ForwarderBench bench { 1, { .places = &places } };

        FakePlaceBroker::Return returned(std::size_t index = 0) const { return places.returns.at(index); }
    };

    class ForwarderPlacesTest : public ::testing::Test {
    protected:
        FakePlaceBroker& places() { return m_one.places; }
        ForwarderBench& bench() { return m_one.bench; }

        PlacesBench m_one;
    };

    // The endpoint of the permit, and no other, has a slot for the request.
    TEST_F(ForwarderPlacesTest, SendsToTheGrantedEndpointAndTellsHowLongItTook)
    {
        for (const std::string name : { "e2", "e1", "e2", "e2" }) {
            places().returns.clear();
            const std::uint64_t permit = places().grant(name);
            bench().answer(200, { "whole" }).onRead = [&] { bench().clock.advance(15ms); };
            EXPECT_EQ(bench().send().response.status, 200);
            EXPECT_EQ(bench().sent(bench().client.requests.size() - 1, "endpoint"), name);
            ASSERT_EQ(places().returns.size(), 1U);
            EXPECT_EQ(m_one.returned().permit, permit);
            EXPECT_EQ(m_one.returned().outcome, EndpointOutcome::succeeded);
            EXPECT_EQ(m_one.returned().serviceTime, 30ms); // Two reads: the piece and the end.
        }
    }

    TEST_F(ForwarderPlacesTest, NamesTheRequestToTheCoordinator)
    {
        config::Route& route = bench().useRoute(RequestKind::idempotent);
        route.objective = 300ms;
        route.priority = 2;
        bench().publish();
        bench().answer(200, { "whole" });
        bench().send({ { "wait", "1500" } });
        ASSERT_EQ(places().wishes.size(), 1U);
        const PlaceWish& wish = places().wishes.front();
        EXPECT_EQ(wish.service.value, "svc");
        EXPECT_EQ(wish.version, "v1");
        EXPECT_EQ(wish.customer.value, "school");
        EXPECT_EQ(wish.priority, 2);
        EXPECT_EQ(wish.objectiveLeft, 300ms);
        // A grant at the deadline would come too late for an attempt.
        EXPECT_LT(wish.deadlineLeft, 1'500ms);
        EXPECT_GT(wish.deadlineLeft, 1'400ms);
    }

    struct EndCase {
        const char* name;
        std::function<void(ForwarderBench&)> script;
        EndpointOutcome outcome;
    };

    const std::vector<EndCase>& endCases()
    {
        static const std::vector<EndCase> cases {
            { "no connection", [](ForwarderBench& bench) { bench.lose(0); }, EndpointOutcome::unreachable },
            { "lost after the first byte", [](ForwarderBench& bench) { bench.lose(1); }, EndpointOutcome::failed },
            { "lost, and the endpoint no longer listens", [](ForwarderBench& bench) { bench.listening.answer = net::Listening::no; bench.lose(1); }, EndpointOutcome::unreachable },
            { "turned away", [](ForwarderBench& bench) { bench.script(503, { { "not-run", "1" } }, {}); }, EndpointOutcome::turnedAway },
            { "503 without a statement", [](ForwarderBench& bench) { bench.script(503, {}, {}); }, EndpointOutcome::failed },
            { "signed 500", [](ForwarderBench& bench) { bench.answer(500, { "x" }); }, EndpointOutcome::failed },
            { "signed 404", [](ForwarderBench& bench) { bench.answer(404, { "x" }); }, EndpointOutcome::succeeded },
            { "unsigned 200", [](ForwarderBench& bench) { bench.script(200, { { "id", "q" } }, { "x" }); }, EndpointOutcome::failed },
            { "answer that breaks off", [](ForwarderBench& bench) { bench.answer(200, { "x" }, true); }, EndpointOutcome::failed },
            { "failure that breaks off", [](ForwarderBench& bench) { bench.answer(500, { "x" }, true); }, EndpointOutcome::failed },
            { "success", [](ForwarderBench& bench) { bench.answer(200, { "x" }); }, EndpointOutcome::succeeded },
        };
        return cases;
    }

    // A permit that isn't given back keeps a slot idle until it expires; one that is given back twice frees another request's.
    TEST(ForwarderPlacesEndTest, GivesThePermitBackOnceHoweverAnAttemptEnds)
    {
        for (const RequestKind kind : { RequestKind::idempotent, RequestKind::nonIdempotent, RequestKind::streaming }) {
            for (const EndCase& one : endCases()) {
                PlacesBench test;
                test.bench.useRoute(kind);
                test.places.grant("e1");
                test.places.grant("e2");
                one.script(test.bench);
                test.bench.answer(200, { "second" });
                test.bench.send();
                ASSERT_FALSE(test.places.returns.empty()) << one.name;
                EXPECT_EQ(test.places.outstanding(), 0U) << one.name;
                EXPECT_FALSE(test.places.gaveBackTwice()) << one.name;
                // Streams are told apart by events, which these scripts don't send.
                EXPECT_TRUE(kind == RequestKind::streaming || test.returned().outcome == one.outcome) << one.name;
            }
        }
    }

    // The permit of the first attempt doesn't cover the second one, and its endpoint is not to be granted again.
    TEST_F(ForwarderPlacesTest, AsksForAnotherPermitForEachAttempt)
    {
        places().grant("e1");
        places().grant("e2");
        bench().script(503, { { "not-run", "1" } }, {});
        bench().answer(200, { "second" });
        EXPECT_EQ(bench().send().response.status, 200);
        ASSERT_EQ(places().wishes.size(), 2U);
        EXPECT_EQ(places().wishes.at(1).excluded, std::vector<EndpointName> { { "e1" } });
        EXPECT_EQ(bench().sent(1, "endpoint"), "e2");
        EXPECT_EQ(places().returns.size(), 2U);
    }

    // A coordinator that has lost the request's list of tried endpoints, or repeats an old answer, must not have it run there again.
    TEST_F(ForwarderPlacesTest, DeclinesAnEndpointThatItHasTried)
    {
        bench().listEndpoints({ "e1", "e2", "e3" });
        places().grant("e1");
        places().grant("e1");
        places().grant("e3");
        bench().script(503, { { "not-run", "1" } }, {});
        bench().answer(200, { "second" });
        EXPECT_EQ(bench().send().response.status, 200);
        ASSERT_EQ(bench().client.requests.size(), 2U);
        EXPECT_EQ(bench().sent(1, "endpoint"), "e3");
        ASSERT_EQ(places().returns.size(), 3U);
        EXPECT_EQ(m_one.returned(1).outcome, std::nullopt);
    }

    // A caller that is refused while the request can't run may come back; one that is held until its deadline can't.
    TEST_F(ForwarderPlacesTest, RefusesAtOnceWhatTheCoordinatorRejects)
    {
        bench().useRoute(RequestKind::nonIdempotent);
        places().reject(700ms);
        const SteadyTime before = bench().clock.now();
        const FakeResponder caller = bench().send();
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_GE(std::stoll(caller.field("retry-after")), 700);
        EXPECT_EQ(bench().client.requests.size(), 0U);
        EXPECT_EQ(bench().clock.now(), before);
        EXPECT_TRUE(places().returns.empty());
    }

    // 503 promises that a request has not run; this one may have.
    TEST_F(ForwarderPlacesTest, DoesNotPromiseThatARequestHasNotRunAfterAnAttempt)
    {
        places().grant("e1");
        places().reject(700ms);
        bench().lose(1);
        EXPECT_EQ(bench().send().response.status, 502);
        EXPECT_EQ(bench().client.requests.size(), 1U);
        EXPECT_EQ(places().outstanding(), 0U);
    }

    // A coordinator that can't be reached must not keep the service from working.
    TEST_F(ForwarderPlacesTest, DecidesByItselfWithoutAnAnswer)
    {
        bench().answer(200, { "whole" });
        EXPECT_EQ(bench().send().response.status, 200);
        EXPECT_EQ(places().wishes.size(), 1U);
        EXPECT_TRUE(places().returns.empty());
    }

    TEST_F(ForwarderPlacesTest, AsksOnlyForSharedServicesAndPlainRoutes)
    {
        places().shared.clear();
        bench().answer(200, { "whole" });
        EXPECT_EQ(bench().send().response.status, 200);
        places().shared = { { "svc" } };
        bench().useRoute(RequestKind::streaming, true).isGenerative = true;
        bench().publish();
        bench().answer(200, { "whole" });
        bench().send();
        EXPECT_TRUE(places().wishes.empty());
    }

    // The caller's request must not run once nobody waits for its answer.
    TEST_F(ForwarderPlacesTest, StopsWaitingWhenTheCallerLeaves)
    {
        FakeResponder caller;
        places().waits = 3;
        places().onWait = [&] { caller.leave(); };
        places().grant("e1");
        bench().answer(200, { "whole" });
        bench().send(caller);
        EXPECT_EQ(bench().client.requests.size(), 0U);
        EXPECT_EQ(places().wishes.size(), 1U);
        EXPECT_EQ(places().waited, 1);
        EXPECT_EQ(bench().metrics.counter("whinyard_callers_left_total"), 1U);
    }

    // The grant and the end of the caller's connection may come in the same moment.
    TEST_F(ForwarderPlacesTest, GivesAGrantBackUnusedWhoseCallerHasLeft)
    {
        FakeResponder caller;
        const std::uint64_t permit = places().grant("e1");
        struct LeavingBroker final : PlaceBroker {
            FakePlaceBroker& inner;
            FakeResponder& leaver;
            LeavingBroker(FakePlaceBroker& broker, FakeResponder& responder)
                : inner(broker)
                , leaver(responder)
            {
            }
            bool isShared(const ServiceName& service) const override { return inner.isShared(service); }
            PlaceAnswer acquire(const PlaceWish& wish, const std::function<bool()>&) override
            {
                leaver.leave();
                return inner.acquire(wish, [] { return false; });
            }
            void giveBack(std::uint64_t number, std::optional<EndpointOutcome> outcome, std::chrono::nanoseconds time) override { inner.giveBack(number, outcome, time); }
        } leaving(places(), caller);
        ForwarderBench other(1, { .places = &leaving });
        other.send(caller);
        EXPECT_EQ(other.client.requests.size(), 0U);
        ASSERT_EQ(places().returns.size(), 1U);
        EXPECT_EQ(m_one.returned().permit, permit);
        EXPECT_EQ(m_one.returned().outcome, std::nullopt);
    }

    // A request that can be repeated is cancelled with its caller's connection, and its slot is free.
    TEST_F(ForwarderPlacesTest, GivesThePermitBackWhenTheCallerLeavesDuringAnAttempt)
    {
        for (const RequestKind kind : { RequestKind::idempotent, RequestKind::nonIdempotent }) {
            PlacesBench test;
            test.bench.useRoute(kind);
            FakeResponder caller;
            test.places.grant("e1");
            test.bench.answer(200, { "whole" }).onRead = [&] {
                if (caller.goneAfterPieces != 0)
                    caller.leave();
            };
            test.bench.send(caller);
            ASSERT_EQ(test.places.returns.size(), 1U);
            EXPECT_EQ(test.returned().outcome, kind == RequestKind::idempotent ? EndpointOutcome::cancelled : EndpointOutcome::succeeded);
            EXPECT_EQ(test.bench.client.requests.size(), 1U);
        }
    }

    // The coordinator may not know yet that an endpoint leaves, that its zone is evacuated, or where the request may be served.
    TEST_F(ForwarderPlacesTest, GivesAGrantBackUnusedForAnEndpointThatItMustNotUse)
    {
        struct GateCase {
            const char* name;
            std::function<void(ForwarderBench&)> close; // Keeps requests from "a1".
        };
        const std::vector<GateCase> cases {
            { "leaving", [](ForwarderBench& one) { one.directory.markLeaving({ "a1" }); } },
            { "evacuated", [](ForwarderBench& one) { one.source.evacuate({ { "a" } }); } },
            { "resting", [](ForwarderBench& one) { one.directory.recordComeBackAt({ "a1" }, one.clock.now() + 1s); } },
            { "other region", [](ForwarderBench& one) {
                 one.directory.useRegions({ { { "a" }, { "south" } }, { { "b" }, { "north" } } });
                 one.routing.routes.front().allowedRegions = { { "north" } };
                 one.publish();
             } },
        };
        for (const GateCase& gate : cases) {
            PlacesBench test;
            test.bench.useList({ ForwarderBench::endpointIn({ "a" }, "a1"), ForwarderBench::endpointIn({ "b" }, "b1") });
            gate.close(test.bench);
            const std::uint64_t declined = test.places.grant("a1");
            const std::uint64_t used = test.places.grant("b1");
            test.bench.answer(200, { "whole" });
            EXPECT_EQ(test.bench.send().response.status, 200) << gate.name;
            ASSERT_EQ(test.places.returns.size(), 2U) << gate.name;
            EXPECT_EQ(test.returned(0).permit, declined) << gate.name;
            EXPECT_EQ(test.returned(0).outcome, std::nullopt) << gate.name;
            EXPECT_EQ(test.returned(1).permit, used) << gate.name;
            EXPECT_EQ(test.places.wishes.at(1).excluded, std::vector<EndpointName> { { "a1" } }) << gate.name;
            EXPECT_EQ(test.bench.sent(0, "endpoint"), "b1") << gate.name;
        }
    }

    // Without a bound two instances with different lists would send grants back and forth until the deadline.
    TEST_F(ForwarderPlacesTest, DecidesByItselfAfterAFewGrantsThatItCanNotUse)
    {
        bench().listEndpoints({ "e1", "e2", "e3", "e4", "e5", "e6" });
        for (int i = 0; i < 20; ++i)
            places().grant("unknown-" + std::to_string(i));
        bench().answer(200, { "whole" });
        EXPECT_EQ(bench().send().response.status, 200);
        EXPECT_LE(places().wishes.size(), 4U);
        EXPECT_EQ(places().returns.size(), places().wishes.size());
    }

    // Whoever waits must not run by a configuration that is no longer in force.
    TEST_F(ForwarderPlacesTest, StopsWaitingWhenTheRouteGoes)
    {
        places().waits = 3;
        places().onWait = [&] {
            bench().routing.routes.clear();
            ++bench().routing.version;
            bench().publish();
        };
        places().grant("e1");
        EXPECT_EQ(bench().send().response.status, 404);
        EXPECT_EQ(bench().client.requests.size(), 0U);
        EXPECT_EQ(places().waited, 1);
    }

    // A key that was taken away while its request waited must not be served, though the grant arrived at the same moment.
    TEST_F(ForwarderPlacesTest, AsksTheGateOnceMoreAfterAGrant)
    {
        const std::uint64_t permit = places().grant("e1");
        places().waits = 1;
        struct DeafBroker final : PlaceBroker {
            FakePlaceBroker& inner;
            explicit DeafBroker(FakePlaceBroker& broker)
                : inner(broker)
            {
            }
            bool isShared(const ServiceName& service) const override { return inner.isShared(service); }
            PlaceAnswer acquire(const PlaceWish& wish, const std::function<bool()>&) override
            {
                return inner.acquire(wish, [] { return false; });
            }
            void giveBack(std::uint64_t number, std::optional<EndpointOutcome> outcome, std::chrono::nanoseconds time) override { inner.giveBack(number, outcome, time); }
        } deaf(places());
        ForwarderBench other(1, { .places = &deaf });
        places().onWait = [&] {
            other.routing.customers.front().keys = { "another" };
            ++other.routing.version;
            other.publish();
        };
        other.answer(200, { "whole" });
        EXPECT_EQ(other.send().response.status, 401);
        EXPECT_EQ(other.client.requests.size(), 0U);
        ASSERT_EQ(places().returns.size(), 1U);
        EXPECT_EQ(m_one.returned().permit, permit);
        EXPECT_EQ(m_one.returned().outcome, std::nullopt);
    }

    // Most configurations change other routes, and a request that waits keeps its place in the queue then.
    TEST_F(ForwarderPlacesTest, KeepsWaitingThroughAConfigurationThatLeavesItsRoute)
    {
        places().waits = 3;
        places().onWait = [&] {
            ++bench().routing.version;
            bench().publish();
        };
        places().grant("e2");
        bench().answer(200, { "whole" });
        EXPECT_EQ(bench().send().response.status, 200);
        EXPECT_EQ(places().wishes.size(), 1U);
        EXPECT_EQ(places().waited, 3);
        EXPECT_EQ(bench().sent(0, "endpoint"), "e2");
    }

    // A request that waited in vain is refused as one that has not run, and isn't sent in its last moments.
    TEST_F(ForwarderPlacesTest, RefusesARequestThatWaitedUntilItsDeadline)
    {
        bench().useRoute(RequestKind::nonIdempotent);
        places().waits = 1;
        places().onWait = [&] { bench().clock.advance(places().wishes.back().deadlineLeft); };
        const FakeResponder caller = bench().send();
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_EQ(bench().client.requests.size(), 0U);
        EXPECT_EQ(places().wishes.size(), 1U);
    }

}
}
