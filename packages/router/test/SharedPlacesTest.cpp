// One instance's requests for permits and the permits that it holds, notice by notice.
#include "whinyard/router/SharedPlacesBench.h"

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using Kind = PlaceAnswer::Kind;
    using policy::EndpointOutcome;
    using policy::PermitVerdict;

    class SharedPlacesTest : public SharedPlacesBench { };

    // A new number would take a second permit for the same request.
    TEST_F(SharedPlacesTest, RepeatsTheSameRequestAfterFortyMilliseconds)
    {
        const std::uint64_t number = m_places.begin(wish());
        m_clock.advance(39ms);
        EXPECT_FALSE(m_places.poll(number));
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().size(), 1U);
        m_clock.advance(1ms);
        EXPECT_FALSE(m_places.poll(number));
        const auto requests = sent<peer::PlaceRequestNotice>();
        ASSERT_EQ(requests.size(), 2U);
        EXPECT_EQ(requests[0].second.request.id, requests[1].second.request.id);
        EXPECT_EQ(requests[1].first, coordinator());
        // The time that has passed counts.
        EXPECT_EQ(requests[1].second.request.objectiveLeft, 260ms);
        EXPECT_EQ(requests[1].second.request.deadlineLeft, 1'460ms);
    }

    // A coordinator that is gone must cost a request no more than the time of two tries, and the next one a second at most.
    TEST_F(SharedPlacesTest, DecidesLocallyAfterTwoSilentTriesAndAsksTheNextForASecond)
    {
        const InstanceName first = coordinator();
        const std::uint64_t number = m_places.begin(wish());
        m_clock.advance(40ms);
        EXPECT_FALSE(m_places.poll(number));
        m_clock.advance(40ms);
        ASSERT_EQ(m_places.poll(number)->kind, Kind::unavailable);
        // What it may have granted meanwhile is withdrawn.
        ASSERT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].first, first);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.id.number, number);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.outcome, std::nullopt);
        const InstanceName next = coordinator();
        EXPECT_NE(next, first);
        m_sent.clear();
        m_clock.advance(900ms);
        m_places.abandon(m_places.begin(wish()));
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().at(0).first, next);
        // After the second one request finds out, while others still ask the next one.
        m_sent.clear();
        m_clock.advance(100ms);
        const std::uint64_t asking = m_places.begin(wish());
        m_places.begin(wish());
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().at(0).first, first);
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().at(1).first, next);
        answer(first, asking, PermitVerdict::granted, "e0");
        EXPECT_EQ(coordinator(), first);
    }

    // A grant is pushed to whoever waits; when it is lost, only a repetition learns of it.
    TEST_F(SharedPlacesTest, RepeatsARequestThatWaits)
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, PermitVerdict::waiting, {}, 200ms);
        m_sent.clear();
        for (int i = 1; i <= 4; ++i) {
            m_clock.advance(100ms);
            EXPECT_FALSE(m_places.poll(number));
            EXPECT_EQ(sent<peer::PlaceRequestNotice>().size(), static_cast<std::size_t>(i));
            answer(coordinator(), number, PermitVerdict::waiting, {}, 200ms);
        }
        answer(coordinator(), number, PermitVerdict::granted, "e1");
        const std::optional<PlaceAnswer> granted = m_places.poll(number);
        ASSERT_TRUE(granted);
        EXPECT_EQ(granted->endpoint.value, "e1");
        EXPECT_EQ(m_places.held(), 1U);
    }

    // A coordinator that ends while requests wait with it must not hold them until their deadlines.
    TEST_F(SharedPlacesTest, LeavesACoordinatorThatFallsSilentWhileARequestWaits)
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, PermitVerdict::waiting, {}, 200ms);
        std::optional<PlaceAnswer> end;
        for (int i = 0; i < 20 && !end; ++i) {
            m_clock.advance(10ms);
            end = m_places.poll(number);
        }
        ASSERT_TRUE(end);
        EXPECT_EQ(end->kind, Kind::unavailable);
    }

    TEST_F(SharedPlacesTest, TellsWhenToComeBack)
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, PermitVerdict::rejected, {}, 450ms);
        const std::optional<PlaceAnswer> rejected = m_places.poll(number);
        ASSERT_TRUE(rejected);
        EXPECT_EQ(rejected->kind, Kind::rejected);
        EXPECT_EQ(rejected->retryAfter, 450ms);
        EXPECT_EQ(m_places.held(), 0U);
    }

    // The same grant twice is one permit. A second one would send a request that must not run twice once more.
    TEST_F(SharedPlacesTest, TakesARepeatedGrantOnce)
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, PermitVerdict::granted, "e0");
        answer(coordinator(), number, PermitVerdict::granted, "e1");
        EXPECT_EQ(m_places.poll(number)->endpoint.value, "e0");
        answer(coordinator(), number, PermitVerdict::granted, "e0");
        EXPECT_EQ(m_places.held(), 1U);
        EXPECT_TRUE(sent<peer::PlaceReturnNotice>().empty()); // It would free the slot of a request that runs.
        m_places.giveBack(number, EndpointOutcome::succeeded, 60ms);
        m_places.giveBack(number, EndpointOutcome::succeeded, 60ms);
        ASSERT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.outcome, EndpointOutcome::succeeded);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.serviceTime, 60ms);
    }

    // Only who was asked keeps the permit; another's grant must not pass for it.
    TEST_F(SharedPlacesTest, ReturnsAGrantOfAnInstanceThatItDidNotAsk)
    {
        const std::uint64_t number = m_places.begin(wish());
        const InstanceName other { coordinator().value == "edge-5" ? "edge-6" : "edge-5" };
        m_sent.clear();
        answer(other, number, PermitVerdict::granted, "e0");
        EXPECT_FALSE(m_places.poll(number));
        ASSERT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].first, other);
        answer(coordinator(), number, PermitVerdict::granted, "e1");
        EXPECT_EQ(m_places.poll(number)->endpoint.value, "e1");
    }

    // The one request that finds out whether a silent coordinator is back may end with its caller; another one must find out then.
    TEST_F(SharedPlacesTest, AsksASilentCoordinatorAgainAfterTheAskingRequestWasAbandoned)
    {
        const InstanceName first = coordinator();
        const std::uint64_t number = m_places.begin(wish());
        for (int i = 0; i < 2; ++i) {
            m_clock.advance(40ms);
            m_places.poll(number);
        }
        ASSERT_NE(coordinator(), first);
        m_clock.advance(1'000ms);
        for (int i = 0; i < 3; ++i) {
            m_sent.clear();
            m_places.abandon(m_places.begin(wish()));
            EXPECT_EQ(sent<peer::PlaceRequestNotice>().at(0).first, first);
        }
    }

    // The instance chooses by itself where a service is no longer shared; its requests must not wait for grants until their deadlines.
    TEST_F(SharedPlacesTest, StopsWaitingWhenTheServiceIsNoLongerShared)
    {
        const SteadyTime began = m_clock.now();
        m_fibers.onWait = [&] {
            for (const auto& [to, request] : sent<peer::PlaceRequestNotice>())
                answer(to, request.request.id.number, PermitVerdict::waiting, {}, 200ms);
            m_sent.clear();
            listSlots({ 10, 10 });
        };
        EXPECT_EQ(m_places.acquire(wish(), [] { return false; }).kind, Kind::unavailable);
        EXPECT_LE(m_clock.now() - began, 50ms);
        EXPECT_EQ(m_places.waiting(), 0U);
    }

    // A slot that was granted too late stays idle until it is returned or expires.
    TEST_F(SharedPlacesTest, ReturnsALateGrantUnused)
    {
        const InstanceName first = coordinator();
        const std::uint64_t number = m_places.begin(wish());
        m_places.abandon(number);
        m_sent.clear();
        answer(first, number, PermitVerdict::granted, "e0");
        ASSERT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].first, first);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.outcome, std::nullopt);
        EXPECT_EQ(m_places.held(), 0U);
        // What isn't this instance's own is none of its business.
        m_sent.clear();
        m_places.take(peer::PlaceAnswerNotice { first, { "svc" }, "v1", { { { "edge-5" }, number }, PermitVerdict::granted, { "e0" }, 0ms } });
        EXPECT_TRUE(m_sent.empty());
    }

    TEST_F(SharedPlacesTest, ReturnsAGrantThatCameBeforeItsRequestWasAbandoned)
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, PermitVerdict::granted, "e0");
        m_places.abandon(number);
        EXPECT_EQ(m_places.held(), 0U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
    }

    // The coordinator takes back what no such notice lists; without permits nothing is to be told.
    TEST_F(SharedPlacesTest, ListsItsPermitsFourTimesASecondWhileItHoldsAny)
    {
        pass(1'000ms);
        EXPECT_TRUE(m_sent.empty());
        const std::uint64_t number = hold();
        pass(1'000ms);
        const auto held = sent<peer::PlacesHeldNotice>();
        EXPECT_GE(held.size(), 4U);
        EXPECT_LE(held.size(), 5U);
        EXPECT_EQ(held.front().first, coordinator());
        EXPECT_EQ(held.front().second.permits, std::vector<peer::NoticedPermit>({ { number, { "e0" } } }));
        m_places.giveBack(number, EndpointOutcome::succeeded, 60ms);
        m_sent.clear();
        pass(1'000ms);
        EXPECT_TRUE(m_sent.empty());
    }

    // A new coordinator would grant the slots that are taken a second time.
    TEST_F(SharedPlacesTest, TellsANewCoordinatorOfPermitsAndOfTheirReturn)
    {
        const InstanceName first = coordinator();
        const std::uint64_t number = hold();
        pass(50ms);
        ASSERT_FALSE(sent<peer::PlacesHeldNotice>().empty()); // The next list is due in 250 ms, which is too late.
        m_sent.clear();
        std::vector<InstanceName> left = policy::instancesNamed(0, instances);
        std::erase(left, first);
        useInstances(left);
        pass(50ms);
        std::set<InstanceName> told;
        for (const auto& [to, notice] : sent<peer::PlacesHeldNotice>())
            told.insert(to);
        EXPECT_TRUE(told.contains(coordinator()));
        m_sent.clear();
        m_places.giveBack(number, EndpointOutcome::failed, 60ms);
        told.clear();
        for (const auto& [to, notice] : sent<peer::PlaceReturnNotice>())
            told.insert(to);
        EXPECT_EQ(told, std::set<InstanceName>({ first, coordinator() }));
    }

    // The coordinator knows neither the regions of a request nor what an endpoint told this instance alone.
    TEST_F(SharedPlacesTest, ExcludesEndpointsThatThisInstanceMustNotUse)
    {
        m_directory.recordComeBackAt({ "e1" }, m_clock.now() + 1s);
        m_places.begin(wish());
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().at(0).second.request.excluded, std::vector<EndpointName> { { "e1" } });
        // With none left there is nothing to ask for.
        m_directory.recordComeBackAt({ "e0" }, m_clock.now() + 1s);
        EXPECT_EQ(m_places.poll(m_places.begin(wish()))->kind, Kind::unavailable);
        EXPECT_EQ(sent<peer::PlaceRequestNotice>().size(), 1U);
    }

    // Answers that came while it was frozen lie in its own socket; the coordinator is not at fault.
    TEST_F(SharedPlacesTest, BlamesNoCoordinatorAfterItWasFrozenItself)
    {
        const InstanceName first = coordinator();
        m_places.tick();
        const std::uint64_t number = m_places.begin(wish());
        m_clock.advance(40ms);
        EXPECT_FALSE(m_places.poll(number));
        m_clock.advance(1'000ms);
        EXPECT_EQ(m_places.poll(number)->kind, Kind::unavailable);
        EXPECT_EQ(coordinator(), first);
    }

    // A wait must end with the caller's connection, and at the latest with the deadline.
    TEST_F(SharedPlacesTest, AcquireAsksOftenWhetherItIsGivenUp)
    {
        int questions = 0;
        const SteadyTime began = m_clock.now();
        m_fibers.onWait = [&] {
            for (const auto& [to, request] : sent<peer::PlaceRequestNotice>())
                answer(to, request.request.id.number, PermitVerdict::waiting, {}, 200ms);
            m_sent.clear();
        };
        EXPECT_EQ(m_places.acquire(wish(), [&] { return ++questions == 5; }).kind, Kind::unavailable);
        EXPECT_LE(m_clock.now() - began, 5 * 50ms);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(m_places.waiting(), 0U);
        const SteadyTime again = m_clock.now();
        EXPECT_EQ(m_places.acquire(wish(), [] { return false; }).kind, Kind::unavailable);
        EXPECT_EQ(m_clock.now() - again, wish().deadlineLeft);
    }

    // A request that must not run twice is sent once, however often its grant arrives, and its permit goes back once.
    TEST_F(SharedPlacesTest, ForwarderSendsANonIdempotentRequestOnceUnderARepeatedGrant)
    {
        ForwarderBench bench(1, { .places = &m_places });
        bench.useRoute(config::RequestKind::nonIdempotent);
        std::uint64_t number = 0;
        const auto grant = [&] { answer(coordinator(), number, PermitVerdict::granted, "e1"); };
        bench.listEndpoints({ "e0", "e1" });
        m_fibers.onWait = [&] {
            number = sent<peer::PlaceRequestNotice>().back().second.request.id.number;
            grant();
            grant();
        };
        bench.client.onCall = [&] { grant(); };
        bench.answer(200, { "whole" }).onRead = [&] { grant(); };
        EXPECT_EQ(bench.send().response.status, 200);
        EXPECT_EQ(bench.client.requests.size(), 1U);
        EXPECT_EQ(bench.sent(0, "endpoint"), "e1");
        ASSERT_EQ(sent<peer::PlaceReturnNotice>().size(), 1U);
        EXPECT_EQ(sent<peer::PlaceReturnNotice>()[0].second.outcome, EndpointOutcome::succeeded);
        EXPECT_EQ(m_places.held(), 0U);
    }

}
}
