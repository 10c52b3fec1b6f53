// Which services are shared, which instance coordinates them, and what an instance does as a coordinator.
#include "whinyard/router/PlacesFleet.h"
#include "whinyard/router/SharedPlacesBench.h"

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using Kind = PlaceAnswer::Kind;
    using policy::EndpointOutcome;
    using policy::PermitVerdict;

    class SharedPlacesCoordinatorTest : public SharedPlacesBench { };

    // An instance's own count says enough where it has a slot for itself; models have other limits; nothing is known of slots that
    // an endpoint doesn't report.
    TEST_F(SharedPlacesCoordinatorTest, SharesOnlyPlainServicesWithFewerSlotsThanInstances)
    {
        EXPECT_TRUE(m_places.isShared({ "svc" }));
        EXPECT_FALSE(m_places.isShared({ "other" }));
        listSlots({ 10, 10 });
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        listSlots({ 10, 9 });
        EXPECT_TRUE(m_places.isShared({ "svc" }));
        listSlots({ 6, 0 });
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        listSlots({});
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        listSlots({ 6, 6 });
        useInstances(policy::instancesNamed(0, 12));
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        useInstances(policy::instancesNamed(0, 13));
        EXPECT_TRUE(m_places.isShared({ "svc" }));
        m_routing.table = tableWith({ { "svc" }, 100, 0, 0, 1, { { { "small" }, 0.02 } } });
        m_places.noteNews();
        EXPECT_FALSE(m_places.isShared({ "svc" }));
    }

    // A service with zones that are evacuated has only the slots of the others.
    TEST_F(SharedPlacesCoordinatorTest, CountsNoSlotsOfEvacuatedZones)
    {
        std::vector<backing::ListedEndpoint> listed { ForwarderBench::endpointIn({ "a" }, "e0"), ForwarderBench::endpointIn({ "b" }, "e1") };
        listed[0].slots = 15;
        listed[1].slots = 15;
        m_directory.replace(listed, m_clock.now());
        m_places.noteNews();
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        m_directory.useEvacuatedZones({ { "a" } }, m_clock.now());
        m_places.noteNews();
        EXPECT_TRUE(m_places.isShared({ "svc" }));
    }

    // An endpoint's own word that it leaves comes without a new list.
    TEST_F(SharedPlacesCoordinatorTest, NoticesWithoutNewsThatSlotsHaveGone)
    {
        listSlots({ 15, 15 });
        EXPECT_FALSE(m_places.isShared({ "svc" }));
        m_directory.markLeaving({ "e0" });
        pass(300ms);
        EXPECT_TRUE(m_places.isShared({ "svc" }));
    }

    // Instances that rank differently would each ask another coordinator.
    TEST_F(SharedPlacesCoordinatorTest, AllInstancesNameTheSameCoordinator)
    {
        PlacesFleet fleet({ .instances = 30, .endpoints = 3, .slots = 6 });
        for (std::size_t i = 1; i < 30; ++i)
            EXPECT_EQ(fleet.places(i).coordinatorOf({ "svc" }), fleet.places(0).coordinatorOf({ "svc" }));
    }

    TEST_F(SharedPlacesCoordinatorTest, GrantsToItselfWithoutADatagram)
    {
        coordinateAlone();
        const std::uint64_t number = m_places.begin(wish());
        const std::optional<PlaceAnswer> granted = m_places.poll(number);
        ASSERT_TRUE(granted);
        EXPECT_EQ(granted->kind, Kind::granted);
        EXPECT_EQ(m_places.poolState({ "svc" }, "v1")->held, 1U);
        pass(2'000ms); // Its own permits don't expire either.
        EXPECT_EQ(m_places.poolState({ "svc" }, "v1")->held, 1U);
        m_places.giveBack(number, EndpointOutcome::succeeded, 60ms);
        EXPECT_EQ(m_places.poolState({ "svc" }, "v1")->held, 0U);
        EXPECT_TRUE(m_sent.empty());
    }

    // Anybody may name any service; each name must not leave a pool behind.
    TEST_F(SharedPlacesCoordinatorTest, KeepsNoPoolOfServicesItKnowsNoEndpointsOf)
    {
        m_places.take(peer::PlaceRequestNotice { { "unknown" }, "v1", { { { "edge-5" }, 1 }, { "z0" }, {}, 1, 300ms, 1'500ms, {} } });
        m_places.take(peer::PlacesHeldNotice { { "edge-5" }, { "unknown" }, "v1", { { 1, { "e0" } } } });
        EXPECT_EQ(sent<peer::PlaceAnswerNotice>().at(0).second.decision.verdict, PermitVerdict::noEndpoint);
        EXPECT_FALSE(m_places.poolState({ "unknown" }, "v1"));
    }

    // Versions come and go; each must not leave a pool behind.
    TEST_F(SharedPlacesCoordinatorTest, DropsAPoolThatNobodyUses)
    {
        coordinateAlone();
        const std::uint64_t number = m_places.begin(wish());
        EXPECT_EQ(m_places.poll(number)->kind, Kind::granted);
        pass(20s); // A permit that is held is a use.
        EXPECT_TRUE(m_places.poolState({ "svc" }, "v1"));
        m_places.giveBack(number, EndpointOutcome::succeeded, 60ms);
        pass(11s);
        EXPECT_FALSE(m_places.poolState({ "svc" }, "v1"));
    }

    // What lies in the socket of a coordinator that was frozen says of deadlines that they are ahead, which have passed.
    TEST_F(SharedPlacesCoordinatorTest, GrantsNothingToRequestsThatCameWhileItWasFrozen)
    {
        coordinateAlone();
        m_places.tick();
        const peer::PlaceRequestNotice request { { "svc" }, "v1", { { { "edge-5" }, 1 }, { "z0" }, {}, 1, 300ms, 1'500ms, {} } };
        m_clock.advance(2s);
        m_places.take(request);
        m_places.tick();
        m_places.take(request);
        EXPECT_TRUE(sent<peer::PlaceAnswerNotice>().empty());
        // Whoever still waits repeats its request.
        m_clock.advance(40ms);
        m_places.take(request);
        EXPECT_EQ(sent<peer::PlaceAnswerNotice>().at(0).second.decision.verdict, PermitVerdict::granted);
    }

    // Slots of an endpoint that has gone would be granted in vain, and those of one that has come stay idle.
    TEST_F(SharedPlacesCoordinatorTest, CoordinatorFollowsTheListOfEndpoints)
    {
        coordinateAlone();
        listSlots({ 6 });
        m_places.tick();
        constexpr int permitsOfOne = 8;
        for (int i = 0; i < permitsOfOne; ++i)
            EXPECT_EQ(m_places.poll(m_places.begin(wish()))->endpoint.value, "e0");
        const std::uint64_t waiting = m_places.begin(wish());
        EXPECT_FALSE(m_places.poll(waiting));
        listSlots({ 6, 6 });
        m_places.tick();
        const std::optional<PlaceAnswer> granted = m_places.poll(waiting);
        ASSERT_TRUE(granted);
        EXPECT_EQ(granted->endpoint.value, "e1");
        listSlots({ 6 });
        m_places.tick();
        const std::uint64_t late = m_places.begin(wish());
        EXPECT_FALSE(m_places.poll(late));
    }

}
}
