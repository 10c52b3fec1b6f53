// What PlacePool makes of endpoints that fail, are full or vanish, and of holders and coordinators that do.
#include "whinyard/policy/PlacePool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };
    const EndpointName a { "a" };
    const EndpointName b { "b" };

    PermitId id(std::uint64_t number) { return { { "e-" + std::to_string(number % 88) }, number }; }

    PermitRequest wish(std::uint64_t number)
    {
        return { id(number), { "z-1" }, { "c-1" }, 1, 300ms, 1'500ms, {} };
    }

    std::vector<PooledEndpoint> both(std::uint32_t slots) { return { { a, { "z-1" }, slots }, { b, { "z-2" }, slots } }; }

    // Asks for a permit and takes the request back if it has to wait.
    std::optional<EndpointName> tryOne(PlacePool& pool, std::uint64_t number, SteadyTime now)
    {
        const PermitDecision decision = pool.request(wish(number), now).front();
        if (decision.verdict == PermitVerdict::granted)
            return decision.endpoint;
        pool.release(id(number), std::nullopt, 0ns, now);
        return std::nullopt;
    }

    // Takes all permits that are free; returns how many each endpoint granted.
    std::map<EndpointName, std::uint32_t> takeAll(PlacePool& pool, std::uint64_t first, SteadyTime now)
    {
        std::map<EndpointName, std::uint32_t> counts;
        while (const std::optional<EndpointName> endpoint = tryOne(pool, first++, now))
            ++counts[*endpoint];
        return counts;
    }

    // Has `count` requests end so at the only endpoint, one after the other.
    void endAll(PlacePool& pool, std::uint64_t first, std::uint64_t count, EndpointOutcome outcome, SteadyTime now)
    {
        for (std::uint64_t i = first; i < first + count; ++i) {
            ASSERT_TRUE(tryOne(pool, i, now));
            pool.release(id(i), outcome, 1ms, now);
        }
    }

    const std::vector<EndpointOutcome> failures { EndpointOutcome::failed, EndpointOutcome::stalled, EndpointOutcome::unreachable };

}

// Guards against a brittle endpoint that turns requests away because more permits are granted than it has slots.
TEST(PlacePoolEndpointTest, GrantsABrittleEndpointNoMorePermitsThanSlots)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 6, true } }, start);
    EXPECT_EQ(pool.state(start).permits, 6U);
    pool.useEndpoints({ { a, { "z-1" }, 6 } }, start);
    EXPECT_EQ(pool.state(start).permits, 8U);
}

// Guards against an endpoint that fails at once and, being idle, attracts all requests; and against one that is never tried again.
TEST(PlacePoolEndpointTest, GivesAFailingEndpointFewerPermitsUntilOneSucceeds)
{
    for (const EndpointOutcome failure : failures) {
        PlacePool pool;
        pool.useEndpoints({ { a, { "z-1" }, 6 } }, start);
        endAll(pool, 1, 2, failure, start);
        EXPECT_EQ(pool.state(start).permits, 8U);
        endAll(pool, 3, 1, failure, start);
        EXPECT_EQ(pool.state(start).permits, 4U);
        endAll(pool, 4, 2, failure, start);
        EXPECT_FALSE(tryOne(pool, 6, start + 249ms));

        // Single requests try it, at growing distances.
        SteadyTime now = start;
        std::uint64_t number = 10;
        std::vector<SteadyTime> trials;
        for (; now < start + 60s; now += 10ms) {
            if (tryOne(pool, ++number, now)) {
                EXPECT_FALSE(tryOne(pool, ++number + 100'000, now)) << "one at a time";
                trials.push_back(now);
                pool.release(id(number - 1), failure, 1ms, now);
            }
        }
        ASSERT_GE(trials.size(), 60U / 4);
        EXPECT_LE(trials.size(), 20U);
        EXPECT_GE(trials.front(), start + 250ms);

        now += 4s;
        ASSERT_TRUE(tryOne(pool, ++number, now));
        pool.release(id(number), EndpointOutcome::succeeded, 50ms, now);
        EXPECT_EQ(pool.state(now).permits, 8U);
    }
}

// Guards against a long pause after one crash that ends several requests at once, and against a pause that outlasts the fault.
TEST(PlacePoolEndpointTest, CountsFailuresOfOneMomentAsOneTrial)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 6 } }, start);
    ASSERT_EQ(takeAll(pool, 1, start)[a], 8U);
    for (std::uint64_t i = 1; i <= 7; ++i)
        pool.release(id(i), EndpointOutcome::failed, 1ms, start);
    EXPECT_EQ(pool.state(start + 249ms).permits, 0U);
    EXPECT_EQ(pool.state(start + 250ms).permits, 1U);
    pool.release(id(8), EndpointOutcome::succeeded, 50ms, start + 10ms);
    EXPECT_EQ(pool.state(start + 10ms).permits, 8U);
}

// Guards against a healthy endpoint that loses permits through callers who go away.
TEST(PlacePoolEndpointTest, KeepsThePermitsOfAnEndpointWhoseRequestsWereCancelledOrUnused)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 6 } }, start);
    endAll(pool, 1, 20, EndpointOutcome::cancelled, start);
    for (std::uint64_t i = 30; i < 50; ++i) {
        ASSERT_TRUE(tryOne(pool, i, start));
        pool.release(id(i), std::nullopt, 0ns, start);
    }
    EXPECT_EQ(pool.state(start).permits, 8U);
}

// Guards against permits for slots that others use, and against an endpoint that never gets its permits back.
TEST(PlacePoolEndpointTest, LowersThePermitsOfAFullEndpointForAShortTime)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 6 } }, start);
    endAll(pool, 1, 3, EndpointOutcome::turnedAway, start);
    EXPECT_EQ(pool.state(start).permits, 5U);
    endAll(pool, 4, 20, EndpointOutcome::turnedAway, start);
    EXPECT_EQ(pool.state(start + 999ms).permits, 1U);
    EXPECT_EQ(pool.state(start + 1s).permits, 8U);
    endAll(pool, 40, 1, EndpointOutcome::leaving, start + 1s);
    EXPECT_EQ(pool.state(start + 1s).permits, 1U);
    pool.useEndpoints({ { a, { "z-1" }, 2 } }, start + 1s);
    EXPECT_EQ(pool.state(start + 1s).permits, 1U) << "also with fewer slots than were withheld";
}

// Guards against new requests for an endpoint that has left, and against permits that are lost with it.
TEST(PlacePoolEndpointTest, GrantsNothingOfAnEndpointThatVanished)
{
    PlacePool pool;
    pool.useEndpoints(both(3), start);
    std::optional<std::uint64_t> ofA;
    for (std::uint64_t i = 1; i <= 8; ++i) {
        if (tryOne(pool, i, start) == a)
            ofA = i;
    }
    ASSERT_TRUE(ofA);
    ASSERT_EQ(pool.request(wish(20), start).front().verdict, PermitVerdict::waiting);
    pool.useEndpoints({ { b, { "z-2" }, 3 } }, start);
    EXPECT_EQ(pool.state(start).endpoints, 1U);
    EXPECT_TRUE(pool.release(id(*ofA), EndpointOutcome::succeeded, 50ms, start).empty());
    EXPECT_EQ(pool.state(start).held, 7U);

    const std::vector<PermitDecision> decisions = pool.useEndpoints({}, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().verdict, PermitVerdict::noEndpoint);

    // It comes back with three permits still held.
    pool.useEndpoints(both(3), start);
    EXPECT_EQ(takeAll(pool, 30, start)[a], 1U);
}

// Guards against a request that goes on waiting when the endpoints that it may use come back.
TEST(PlacePoolEndpointTest, ServesWaitingRequestsWithNewEndpoints)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 1 } }, start);
    takeAll(pool, 1, start);
    pool.request(wish(20), start);
    const std::vector<PermitDecision> decisions = pool.useEndpoints(both(1), start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().verdict, PermitVerdict::granted);
    EXPECT_EQ(decisions.front().endpoint, b);
}

// Guards against slots that are lost with the instances that held their permits, and against permits that are granted twice.
TEST(PlacePoolEndpointTest, FreesPermitsThatAreNotConfirmed)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 3 } }, start);
    ASSERT_EQ(takeAll(pool, 1, start)[a], 4U);
    for (SteadyTime now = start; now <= start + 850ms; now += 50ms) {
        pool.confirm({ { id(1), a }, { id(2), a } }, now);
        pool.expire(now);
        EXPECT_EQ(pool.state(now).held, now <= start + 800ms ? 4U : 2U);
    }
    EXPECT_EQ(takeAll(pool, 20, start + 850ms)[a], 2U);
}

// Guards against an instance that was suspended, takes the silence of all holders for their end and grants their permits again.
TEST(PlacePoolEndpointTest, KeepsPermitsWhileItIsSuspended)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 3 } }, start);
    ASSERT_EQ(takeAll(pool, 1, start)[a], 4U);
    pool.request(wish(20), start);
    EXPECT_TRUE(pool.expire(start + 3s).empty());
    EXPECT_EQ(pool.state(start + 3s).held, 4U);
    EXPECT_EQ(pool.state(start + 3s).waiting, 0U) << "its requester has moved on";
    for (SteadyTime now = start + 3s; now <= start + 3'850ms; now += 50ms)
        pool.expire(now);
    EXPECT_EQ(pool.state(start + 3'850ms).held, 0U);
}

// Guards against a permit that comes back for its lifetime when a report of held permits arrives after the release.
TEST(PlacePoolEndpointTest, DoesNotAdoptAPermitThatWasReleased)
{
    PlacePool pool;
    pool.useEndpoints(both(3), start);
    ASSERT_TRUE(tryOne(pool, 1, start));
    pool.release(id(1), EndpointOutcome::succeeded, 50ms, start + 50ms);
    pool.confirm({ { id(1), a } }, start + 51ms);
    EXPECT_EQ(pool.state(start + 51ms).held, 0U);
}

// Guards against a second permit for a requester who got one from the coordinator before.
TEST(PlacePoolEndpointTest, DropsAWaitingRequestWhosePermitIsReported)
{
    PlacePool pool;
    pool.useEndpoints({ { a, { "z-1" }, 1 } }, start);
    takeAll(pool, 1, start);
    ASSERT_EQ(pool.request(wish(20), start).front().verdict, PermitVerdict::waiting);
    pool.confirm({ { id(20), a } }, start);
    EXPECT_EQ(pool.state(start).waiting, 0U);
    EXPECT_EQ(pool.state(start).held, 3U);
    EXPECT_EQ(pool.request(wish(20), start).front().endpoint, a);
}

// Guards against endpoints that get more than the permits of two pools when the coordinator is replaced by an empty one, and against
// grants beyond their permits once the holders have reported.
TEST(PlacePoolEndpointTest, AnEmptyCoordinatorAdoptsWhatIsHeld)
{
    PlacePool old;
    old.useEndpoints(both(6), start);
    std::map<EndpointName, std::uint32_t> held;
    std::vector<HeldPermit> reports;
    for (std::uint64_t i = 1; i <= 12; ++i) {
        const std::optional<EndpointName> endpoint = tryOne(old, i, start);
        ASSERT_TRUE(endpoint);
        ++held[*endpoint];
        reports.push_back({ id(i), *endpoint });
    }
    ASSERT_EQ(held[a], 6U);

    // 160 requests a second; one holder in 20 ms reports, until 250 ms have passed; none of the old requests ends before that.
    PlacePool pool;
    pool.useEndpoints(both(6), start);
    std::map<EndpointName, std::uint32_t> known; // Of the old permits.
    std::map<EndpointName, std::uint32_t> granted;
    std::vector<std::pair<std::uint64_t, EndpointName>> ours;
    std::map<PermitId, SteadyTime> askedAt;
    SteadyTime now = start;
    const auto note = [&](const std::vector<PermitDecision>& decisions) {
        for (const PermitDecision& decision : decisions) {
            if (decision.verdict != PermitVerdict::granted)
                continue;
            ++granted[decision.endpoint];
            ours.emplace_back(decision.id.number, decision.endpoint);
            EXPECT_LE(granted[decision.endpoint] + known[decision.endpoint], 8U) << "a grant beyond the permits that the pool knows of";
        }
    };
    std::uint64_t number = 1'000;
    for (; now <= start + 250ms; now += 1ms) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
        if (elapsed % 20 == 19 && !reports.empty()) {
            pool.confirm({ reports.back() }, now);
            ++known[reports.back().endpoint];
            reports.pop_back();
        }
        if (elapsed % 6 == 0)
            note(pool.request(wish(++number), now));
        // Own requests last 100 ms.
        if (elapsed % 6 == 3 && elapsed > 100 && !ours.empty()) {
            const auto [ended, endpoint] = ours.front();
            ours.erase(ours.begin());
            --granted[endpoint];
            note(pool.release(id(ended), EndpointOutcome::succeeded, 100ms, now));
        }
        if (elapsed % 50 == 0)
            note(pool.expire(now));
        for (const EndpointName& endpoint : { a, b })
            ASSERT_LE(held[endpoint] + granted[endpoint], 6U + 8U);
    }
    ASSERT_TRUE(reports.empty());

    // Once all have reported, the endpoints are back at their permits as soon as own requests have ended.
    for (const auto& [ended, endpoint] : std::vector(ours)) {
        --granted[endpoint];
        note(pool.release(id(ended), EndpointOutcome::succeeded, 100ms, now));
    }
    for (const EndpointName& endpoint : { a, b })
        EXPECT_LE(held[endpoint] + granted[endpoint], 8U);
    EXPECT_EQ(pool.state(now).held, 12U + granted[a] + granted[b]);
}

}
