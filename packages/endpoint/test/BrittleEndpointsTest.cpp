// Endpoints that end when they turn away more than some requests in a second, before several instances that each know only their
// own requests. Virtual time.
#include "whinyard/endpoint/EndpointDirectory.h"

#include "whinyard/policy/FleetNames.h"

#include <gtest/gtest.h>

#include <deque>
#include <queue>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    // From their first word on until they fall, and let fewer requests wait.
    constexpr std::chrono::milliseconds timeToHear { 3'000 };

    struct BrittleSite {
        const char* name;
        std::size_t instances;
        std::size_t endpoints;
        std::uint32_t slots;
        double load; // Of the slots.
    };

    // Arrivals at random, each at any instance; a request that is turned away is tried at two more endpoints.
    class BrittleFleet {
    public:
        BrittleFleet(const BrittleSite& site, std::uint64_t seed)
            : m_site(site)
            , m_random(seed)
            , m_endpoints(site.endpoints)
        {
            std::vector<backing::ListedEndpoint> listed;
            for (std::size_t i = 0; i < site.endpoints; ++i)
                listed.push_back(endpointNamed(i));
            for (std::size_t i = 0; i < site.instances; ++i) {
                m_instances.push_back(std::make_unique<EndpointDirectory>(ZoneName { "z" }, Random(seed + i)));
                m_instances.back()->replace(listed, m_now);
                m_instances.back()->useInstances(policy::instanceNamed(i), policy::instancesNamed(0, site.instances));
            }
        }

        void run(std::chrono::milliseconds duration)
        {
            const double perSecond = m_site.load * static_cast<double>(m_site.endpoints * m_site.slots) / std::chrono::duration<double>(work).count();
            for (const SteadyTime end = m_now + duration; m_now < end; m_now += 1ms) {
                for (m_due += perSecond / 1'000; m_due >= 1; m_due -= 1)
                    arrive();
                while (!m_running.empty() && m_running.top().at <= m_now)
                    finish();
                if (m_now.time_since_epoch() % 200ms == 0ns) {
                    for (const auto& instance : m_instances)
                        instance->refresh(m_now);
                }
            }
        }

        bool states = false; // That they are brittle.
        bool areBrittle = false;
        std::uint32_t waiting = 8; // So many requests may wait at an endpoint.
        std::size_t falls = 0;
        std::size_t served = 0;
        std::size_t refused = 0;

    private:
        static constexpr std::chrono::milliseconds work { 100 };
        static constexpr std::size_t borne = 2; // Requests that an endpoint may turn away in a second.
        static constexpr std::chrono::seconds down { 4 };

        struct Endpoint {
            std::uint32_t held = 0;
            std::deque<SteadyTime> turnedAway;
            SteadyTime backAt;
        };

        struct Run {
            SteadyTime at;
            std::size_t instance = 0;
            std::size_t endpoint = 0;

            bool operator<(const Run& other) const { return at > other.at; }
        };

        backing::ListedEndpoint endpointNamed(std::size_t number) const
        {
            backing::ListedEndpoint endpoint;
            endpoint.name = { "e" + std::to_string(number) };
            endpoint.zone = { "z" };
            endpoint.service = { "svc" };
            endpoint.versions = { { "v1" } };
            endpoint.address = { "10.0.0.1", 80 };
            endpoint.slots = m_site.slots;
            return endpoint;
        }

        EndpointStatement statement() const
        {
            EndpointStatement statement;
            statement.isBrittle = states;
            return statement;
        }

        void arrive()
        {
            const std::size_t number = below(m_random, m_instances.size());
            EndpointDirectory& instance = *m_instances[number];
            EndpointWish wish;
            wish.version = { "v1" };
            for (int attempts = 0; attempts < 3; ++attempts) {
                Failure failure;
                const std::optional<ChosenEndpoint> chosen = instance.choose(wish, m_now, failure);
                if (!chosen)
                    break;
                const std::size_t index = std::stoul(chosen->name.value.substr(1));
                Endpoint& endpoint = m_endpoints[index];
                instance.recordDispatch(chosen->name, {}, m_now);
                if (m_now < endpoint.backAt) {
                    instance.recordEnd(chosen->name, EndpointOutcome::unreachable, 1ms, m_now);
                } else if (endpoint.held < m_site.slots + waiting) {
                    const std::uint32_t ahead = endpoint.held++ / m_site.slots;
                    const auto spread = std::chrono::milliseconds(below(m_random, 2 * work.count()));
                    m_running.push({ m_now + spread + ahead * work, number, index });
                    return;
                } else {
                    instance.recordStatement(chosen->name, statement(), m_now, m_now);
                    instance.recordTurnedAway(chosen->name, m_now);
                    instance.recordEnd(chosen->name, EndpointOutcome::turnedAway, 1ms, m_now);
                    turnAway(endpoint);
                }
                wish.excluded.push_back(chosen->name);
            }
            ++refused;
        }

        void turnAway(Endpoint& endpoint)
        {
            endpoint.turnedAway.push_back(m_now);
            while (endpoint.turnedAway.front() + 1s <= m_now)
                endpoint.turnedAway.pop_front();
            if (!areBrittle || endpoint.turnedAway.size() <= borne)
                return;
            ++falls;
            endpoint.turnedAway.clear();
            endpoint.backAt = m_now + down;
        }

        void finish()
        {
            const Run run = m_running.top();
            m_running.pop();
            --m_endpoints[run.endpoint].held;
            EndpointDirectory& instance = *m_instances[run.instance];
            const EndpointName name { "e" + std::to_string(run.endpoint) };
            instance.recordStatement(name, statement(), m_now, m_now);
            instance.recordEnd(name, EndpointOutcome::succeeded, work, m_now);
            ++served;
        }

        const BrittleSite m_site;
        Random m_random;
        std::vector<Endpoint> m_endpoints;
        std::vector<std::unique_ptr<EndpointDirectory>> m_instances;
        std::priority_queue<Run> m_running;
        SteadyTime m_now { 100s };
        double m_due = 0;
    };

    class BrittleEndpointsTest : public ::testing::TestWithParam<BrittleSite> { };

    // Guards against endpoints that end because instances which don't know of each other's requests fill them.
    TEST_P(BrittleEndpointsTest, FallSeldomWhereTheySayThatTheyAreBrittle)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            BrittleFleet fleet(GetParam(), seed);
            fleet.run(4s);
            fleet.states = true;
            fleet.run(timeToHear);
            fleet.waiting = 0;
            fleet.areBrittle = true;
            fleet.served = fleet.refused = 0;
            fleet.run(10s);
            EXPECT_LE(fleet.falls, 2 + GetParam().endpoints / 10) << "seed " << seed;
            const double share = static_cast<double>(fleet.served) / static_cast<double>(fleet.served + fleet.refused);
            EXPECT_GT(share, 0.75 * std::min(1.0, 1 / GetParam().load)) << "seed " << seed;
        }
    }

    INSTANTIATE_TEST_SUITE_P(Sites, BrittleEndpointsTest,
        ::testing::Values(BrittleSite { "SmallSiteHalfLoaded", 9, 18, 64, 0.5 }, BrittleSite { "SmallSiteOverloaded", 9, 18, 64, 1.4 }, BrittleSite { "FewSlots", 9, 8, 6, 0.6 }, BrittleSite { "FewSlotsOverloaded", 9, 8, 6, 1.5 },
            BrittleSite { "ManyInstances", 58, 45, 16, 0.7 }, BrittleSite { "ManyInstancesOverloaded", 58, 45, 16, 1.3 }),
        [](const auto& site) { return std::string(site.param.name); });

}
}
