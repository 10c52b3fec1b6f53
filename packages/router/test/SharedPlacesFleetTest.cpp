// Many instances that share the slots of a plain service, under load and with each kind of failure. The loads are those of
// docs/design/hard-load.md; thresholds come from the objective, the deadline and the endpoints' limits.
#include "whinyard/router/PlacesFleet.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using Kind = PlaceAnswer::Kind;

    // Permits of one endpoint: a third more than its slots, rounded up.
    std::size_t permitsOf(std::uint32_t slots)
    {
        return (slots * 4 + 2) / 3;
    }

    struct FleetCase {
        std::size_t instances;
        std::size_t endpoints;
        std::uint32_t slots;
        std::chrono::milliseconds serviceTime;
        std::chrono::milliseconds objective;
        std::chrono::milliseconds deadline;
    };

    PlacesFleetSettings settingsOf(const FleetCase& one)
    {
        return { .instances = one.instances, .endpoints = one.endpoints, .slots = one.slots, .serviceTime = one.serviceTime, .objective = one.objective, .deadline = one.deadline };
    }

    // Deployment 2 with two of its four endpoints left: 159 requests a second at 12 slots of 60 ms.
    constexpr FleetCase halfOfDeploymentTwo { 88, 2, 6, 60ms, 300ms, 1'500ms };
    constexpr double deploymentTwoRate = 159;

    double capacityOf(const FleetCase& one)
    {
        return static_cast<double>(one.endpoints * one.slots) / std::chrono::duration<double>(one.serviceTime).count();
    }

    class SharedPlacesFleetSizeTest : public ::testing::TestWithParam<FleetCase> { };

    // Endpoints turn away what is beyond their limit; what is refused must be so at once.
    TEST_P(SharedPlacesFleetSizeTest, KeepsEndpointsBelowTheirLimitUnderTwiceTheirCapacity)
    {
        const FleetCase one = GetParam();
        PlacesFleet fleet(settingsOf(one));
        for (std::size_t i = 0; i < one.instances; ++i)
            ASSERT_TRUE(fleet.places(i).isShared(PlacesFleet::service()));
        fleet.run(5'000ms, 2 * capacityOf(one));
        fleet.run(2'000ms);
        EXPECT_LE(fleet.mostUnderPermits(), permitsOf(one.slots));
        EXPECT_EQ(fleet.count(Kind::unavailable), 0U);
        EXPECT_EQ(fleet.count(Kind::granted) + fleet.count(Kind::rejected), fleet.countBegun());
        // The slots are nearly always in use: a tenth may go to the ways of permits and to the start.
        EXPECT_GE(static_cast<double>(fleet.count(Kind::granted)), 0.9 * 5 * capacityOf(one));
        // Whoever is granted a slot mostly gets its answer in time: waiting in vain takes the slots from others.
        EXPECT_GE(static_cast<double>(fleet.countServedInTime()), 0.85 * static_cast<double>(fleet.count(Kind::granted)));
        for (const PlacesFleet::Outcome& outcome : fleet.outcomes) {
            EXPECT_LE(outcome.answered - outcome.begun, one.objective + 100ms);
            EXPECT_TRUE(outcome.kind != Kind::rejected || outcome.retryAfter > 0ms);
        }
        for (std::size_t i = 0; i < one.instances; ++i)
            EXPECT_EQ(fleet.places(i).held(), 0U);
        EXPECT_EQ(fleet.places(fleet.coordinator()).poolState(PlacesFleet::service(), "v1")->held, 0U);
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, SharedPlacesFleetSizeTest, ::testing::Values(FleetCase { 2, 1, 1, 30ms, 150ms, 2'500ms }, FleetCase { 30, 3, 6, 30ms, 150ms, 2'500ms }, halfOfDeploymentTwo));

    // The load of deployment 2 on the days on which half of its endpoints are gone: four fifths of what they can do.
    TEST(SharedPlacesFleetTest, ServesHalfOfDeploymentTwoInTime)
    {
        PlacesFleet fleet(settingsOf(halfOfDeploymentTwo));
        fleet.run(10'000ms, deploymentTwoRate);
        fleet.run(2'000ms);
        EXPECT_GE(static_cast<double>(fleet.countServedInTime()), 0.98 * static_cast<double>(fleet.countBegun()));
        EXPECT_LE(fleet.mostUnderPermits(), permitsOf(6));
    }

    // The load of deployment 1, whose instances each sent their calls to one endpoint: a quarter of what the endpoints can do.
    TEST(SharedPlacesFleetTest, ServesDeploymentOneInTime)
    {
        PlacesFleet fleet(settingsOf({ 58, 3, 6, 30ms, 150ms, 2'500ms }));
        fleet.run(10'000ms, 152);
        fleet.run(2'000ms);
        EXPECT_GE(static_cast<double>(fleet.countServedInTime()), 0.99 * static_cast<double>(fleet.countBegun()));
        EXPECT_LE(fleet.mostUnderPermits(), permitsOf(6));
    }

    // Requests of a burst must not stand in the queue when it is over: what can't be in time is refused as it comes.
    TEST(SharedPlacesFleetTest, ServesInTimeAgainSoonAfterABurst)
    {
        PlacesFleet fleet(settingsOf(halfOfDeploymentTwo));
        fleet.run(2'000ms, deploymentTwoRate);
        fleet.run(5'000ms, 2.5 * deploymentTwoRate);
        fleet.run(300ms, deploymentTwoRate); // One objective.
        const SteadyTime after = fleet.now();
        fleet.run(5'000ms, deploymentTwoRate);
        fleet.run(2'000ms);
        EXPECT_GE(static_cast<double>(fleet.countServedInTime(after)), 0.97 * static_cast<double>(fleet.countBegun(after)));
        for (const PlacesFleet::Outcome& outcome : fleet.outcomes)
            EXPECT_LE(outcome.answered - outcome.begun, halfOfDeploymentTwo.objective + 100ms);
    }

    // Three datagrams for each request, beside the lists of permits and the repetitions of those that wait.
    TEST(SharedPlacesFleetTest, SendsFewDatagramsForEachRequest)
    {
        PlacesFleet fleet(settingsOf(halfOfDeploymentTwo));
        fleet.run(10'000ms, deploymentTwoRate);
        std::size_t all = 0;
        for (const auto& [instance, count] : fleet.sent)
            all += count;
        EXPECT_LE(static_cast<double>(all), 5.0 * static_cast<double>(fleet.countBegun()));
    }

    // Each permit that is lost with a datagram costs a slot until it expires, and each that is counted twice an endpoint's limit.
    TEST(SharedPlacesFleetTest, BearsTheLossOfTwentyInAHundredDatagrams)
    {
        PlacesFleet fleet(settingsOf(halfOfDeploymentTwo));
        fleet.lost = 0.2;
        fleet.repeated = 0.05;
        fleet.run(10'000ms, deploymentTwoRate);
        fleet.run(3'000ms);
        EXPECT_LE(fleet.mostOfOneCoordinator(), permitsOf(6));
        // Two tries are both lost in (1 - 0.8 * 0.8)^2 = 0.13 of the requests, which are decided locally.
        EXPECT_LE(static_cast<double>(fleet.count(Kind::unavailable)), 0.25 * static_cast<double>(fleet.countBegun()));
        for (const PlacesFleet::Outcome& outcome : fleet.outcomes)
            EXPECT_NE(outcome.answered, SteadyTime());
        for (std::size_t i = 0; i < halfOfDeploymentTwo.instances; ++i) {
            EXPECT_EQ(fleet.places(i).held(), 0U);
            EXPECT_EQ(fleet.places(i).waiting(), 0U);
            EXPECT_EQ(fleet.places(i).poolState(PlacesFleet::service(), "v1").value_or(policy::PlacePoolState {}).held, 0U) << i;
        }
    }

    class SharedPlacesFailureTest : public ::testing::Test {
    protected:
        SharedPlacesFailureTest()
            : m_fleet(settingsOf(halfOfDeploymentTwo))
            , m_first(m_fleet.coordinator())
        {
            m_fleet.run(2'000ms, deploymentTwoRate);
        }

        double share(Kind kind, SteadyTime since) const { return static_cast<double>(m_fleet.count(kind, since)) / static_cast<double>(m_fleet.countBegun(since)); }

        // No request waits for a coordinator that is silent.
        void expectShortWaits(SteadyTime since)
        {
            for (const PlacesFleet::Outcome& outcome : m_fleet.outcomes) {
                const bool counts = outcome.begun >= since && outcome.instance != m_first;
                EXPECT_TRUE(!counts || outcome.answered - outcome.begun <= halfOfDeploymentTwo.objective + 200ms);
            }
        }

        PlacesFleet m_fleet;
        const std::size_t m_first;
    };

    // Each instance notices by one request, and again once a second, that its coordinator is silent; all others are granted slots by
    // the next one.
    TEST_F(SharedPlacesFailureTest, ASilentCoordinatorIsReplaced)
    {
        m_fleet.kill(m_first);
        const SteadyTime killed = m_fleet.now();
        m_fleet.run(1'000ms, deploymentTwoRate);
        const SteadyTime later = m_fleet.now();
        m_fleet.run(3'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        expectShortWaits(killed);
        // 88 instances find out within the first second; later each asks the dead one once a second, of 1.8 requests that it gets.
        EXPECT_GE(share(Kind::granted, later), 0.4);
        EXPECT_LE(m_fleet.mostOfOneCoordinator(), permitsOf(6));
        m_fleet.forget(m_first);
        const SteadyTime known = m_fleet.now();
        m_fleet.run(2'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        EXPECT_EQ(m_fleet.count(Kind::unavailable, known), 0U);
        EXPECT_GE(share(Kind::granted, known), 0.95);
    }

    // Both coordinators know their own permits only; each keeps to the limit, and in the end there is one again.
    TEST_F(SharedPlacesFailureTest, ACoordinatorThatIsPartitionedComesBack)
    {
        m_fleet.cut(m_first, true);
        const SteadyTime began = m_fleet.now();
        m_fleet.run(2'000ms, deploymentTwoRate);
        m_fleet.cut(m_first, false);
        m_fleet.run(4'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        expectShortWaits(began);
        EXPECT_LE(m_fleet.mostOfOneCoordinator(), permitsOf(6));
        // An instance finds out by its next request, which a few may not have had yet.
        for (std::size_t i = 0; i < halfOfDeploymentTwo.instances; ++i)
            m_fleet.send(i);
        m_fleet.run(1'500ms);
        for (std::size_t i = 0; i < halfOfDeploymentTwo.instances; ++i)
            EXPECT_EQ(m_fleet.places(i).coordinatorOf(PlacesFleet::service()), policy::instanceNamed(m_first)) << i;
        m_fleet.resetMost();
        const SteadyTime healed = m_fleet.now();
        m_fleet.run(3'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        EXPECT_LE(m_fleet.mostUnderPermits(), permitsOf(6));
        EXPECT_EQ(m_fleet.count(Kind::unavailable, healed), 0U);
        EXPECT_GE(share(Kind::granted, healed), 0.95);
    }

    // A coordinator that was frozen finds old requests in its socket, and permits that nobody holds any more in its pool.
    TEST_F(SharedPlacesFailureTest, ACoordinatorThatWasFrozenGrantsNothingToOldRequests)
    {
        m_fleet.freeze(m_first);
        const SteadyTime frozen = m_fleet.now();
        m_fleet.run(3'000ms, deploymentTwoRate);
        const std::uint64_t late = m_fleet.metricOfAll("whinyard_places_late_total");
        m_fleet.thaw(m_first);
        m_fleet.run(4'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        expectShortWaits(frozen);
        EXPECT_EQ(m_fleet.metricOfAll("whinyard_places_late_total"), late);
        m_fleet.resetMost();
        const SteadyTime healed = m_fleet.now();
        m_fleet.run(3'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        EXPECT_LE(m_fleet.mostUnderPermits(), permitsOf(6));
        EXPECT_EQ(m_fleet.count(Kind::unavailable, healed), 0U);
        EXPECT_GE(share(Kind::granted, healed), 0.95);
    }

    // Permits of an instance that has ended would stay out for good.
    TEST_F(SharedPlacesFailureTest, PermitsOfARequesterThatDiesAreFreeWithinASecond)
    {
        m_fleet.run(1'500ms);
        const std::size_t requester = (m_first + 1) % halfOfDeploymentTwo.instances;
        for (int i = 0; i < 16; ++i)
            m_fleet.send(requester);
        m_fleet.run(10ms);
        const auto pool = [this] { return *m_fleet.places(m_first).poolState(PlacesFleet::service(), "v1"); };
        EXPECT_EQ(pool().held, 16U);
        m_fleet.kill(requester);
        m_fleet.run(600ms);
        EXPECT_EQ(pool().held, 16U); // One lost list must not free slots that are in use.
        m_fleet.run(500ms);
        EXPECT_EQ(pool().held, 0U);
        EXPECT_EQ(m_fleet.metricOfAll("whinyard_places_expired_total"), 16U);
        const SteadyTime freed = m_fleet.now();
        m_fleet.run(2'000ms, deploymentTwoRate);
        m_fleet.run(1'500ms);
        EXPECT_EQ(m_fleet.count(Kind::unavailable, freed), 0U);
        EXPECT_GE(share(Kind::granted, freed), 0.95);
    }

    // A coordinator that takes over would grant the slots that are taken once more, if the holders didn't tell it.
    TEST_F(SharedPlacesFailureTest, ANewCoordinatorLearnsOfThePermitsThatAreOut)
    {
        m_fleet.run(1'500ms);
        const std::size_t requester = (m_first + 1) % halfOfDeploymentTwo.instances;
        for (int i = 0; i < 12; ++i)
            m_fleet.send(requester);
        m_fleet.run(10ms);
        m_fleet.freeze(requester); // Its requests take long now; it has told nobody yet.
        m_fleet.forget(m_first);
        m_fleet.run(20ms);
        m_fleet.thaw(requester);
        const std::size_t second = m_fleet.coordinator();
        ASSERT_NE(second, m_first);
        m_fleet.run(60ms);
        const auto pool = m_fleet.places(second).poolState(PlacesFleet::service(), "v1");
        ASSERT_TRUE(pool);
        EXPECT_EQ(pool->held, m_fleet.places(requester).held());
    }

}
}
