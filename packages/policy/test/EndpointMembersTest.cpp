// Members that change a few at a time, many at a time and as a whole list leave the same table.
#include "whinyard/policy/EndpointTable.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace whinyard::policy {
namespace {

    const std::vector<VersionName> versions { { "lm@v1" }, { "lm@v2" } };

    class EndpointMembersTest : public ::testing::Test {
    protected:
        static EndpointMember draw(int number, Random& random)
        {
            EndpointMember member;
            member.name.value = "i-" + std::to_string(number);
            member.zone.value = "z" + std::to_string(below(random, 3));
            member.versions = { versions[below(random, 2)] };
            member.leaving = below(random, 5) == 0;
            member.incarnation = 1 + below(random, 3);
            return member;
        }

        // Everything that choices read of a target's members, by name.
        static auto view(const EndpointTable& table, const VersionName& version)
        {
            std::set<std::string> healthy;
            std::vector<std::tuple<std::uint64_t, std::string>> ring;
            std::size_t byZone = 0;
            if (const std::optional<TargetIndex> target = table.find(version)) {
                const TargetMembers& members = table.members(*target);
                for (const EndpointIndex endpoint : members.healthy)
                    healthy.insert(table.name(endpoint).value);
                for (const RingPoint& point : members.ring)
                    ring.emplace_back(point.position, table.name(point.endpoint).value);
                for (const auto& zone : members.healthyByZone)
                    byZone += zone.size();
            }
            return std::tuple(healthy, ring, byZone);
        }
    };

    TEST_F(EndpointMembersTest, AreTheSameHoweverTheyAreTaken)
    {
        Random random(3);
        std::map<std::string, EndpointMember> listed;
        EndpointTable changed;
        EndpointTable replaced;
        for (int round = 0; round < 120; ++round) {
            std::vector<EndpointMember> members;
            std::vector<EndpointName> gone;
            const std::uint64_t changes = round % 10 == 0 ? 200 : 1 + below(random, 12);
            for (std::uint64_t i = 0; i < changes; ++i) {
                const EndpointMember member = draw(static_cast<int>(below(random, 300)), random);
                const bool isTaken = std::any_of(members.begin(), members.end(), [&](const auto& taken) { return taken.name == member.name; });
                if (isTaken || std::find(gone.begin(), gone.end(), member.name) != gone.end())
                    continue;
                if (listed.contains(member.name.value) && below(random, 3) == 0) {
                    gone.push_back(member.name);
                    listed.erase(member.name.value);
                } else {
                    members.push_back(member);
                    listed[member.name.value] = member;
                }
            }
            changed.changeMembers(members, gone);
            std::vector<EndpointMember> all;
            for (const auto& [name, member] : listed)
                all.push_back(member);
            replaced.replaceMembers(all);
            for (const VersionName& version : versions)
                ASSERT_EQ(view(changed, version), view(replaced, version)) << "round " << round;
        }
    }

    // Of 10,000 endpoints an instance uses a few at a time.
    TEST_F(EndpointMembersTest, KeepsNoQuotaOfEndpointsThatHaveNone)
    {
        EndpointTable table;
        std::vector<EndpointMember> members;
        Random random(4);
        for (int i = 0; i < 10'000; ++i)
            members.push_back(draw(i, random));
        table.replaceMembers(members);
        SteadyTime now { std::chrono::hours(1) };
        for (int i = 0; i < 10'000; ++i) {
            table.recordDispatch(*table.find(EndpointName { "i-" + std::to_string(i) }), {}, now);
            now += std::chrono::milliseconds(20);
        }
        EXPECT_LE(table.quotas().size(), 600U) << "those of the last seconds, and as many that are about to go";
    }

    TEST_F(EndpointMembersTest, LooksAtBusyEndpointsOnly)
    {
        EndpointTable table;
        std::vector<EndpointMember> members;
        Random random(5);
        for (int i = 0; i < 1'000; ++i)
            members.push_back(draw(i, random));
        table.replaceMembers(members);
        const SteadyTime now { std::chrono::hours(1) };
        const EndpointIndex busy = *table.find(EndpointName { "i-7" });
        table.recordWork(busy, std::chrono::milliseconds(100), now);
        table.recordWork(busy, std::chrono::milliseconds(100), now);
        EXPECT_EQ(table.busyEndpoints(now).size(), 1U);
        EXPECT_TRUE(table.busyEndpoints(now + std::chrono::milliseconds(200)).empty());
        table.recordWork(busy, std::chrono::milliseconds(100), now + std::chrono::seconds(1));
        EXPECT_EQ(table.busyEndpoints(now + std::chrono::seconds(1)).size(), 1U);
    }

}
}
