// Requests whose route or customer is restricted to regions, at every dispatch: the first try, a retry, a larger model, a stream that is
// resumed, and where the allowed regions have no sound endpoint.
//
// Seen: 121 to 206 requests of a day reached endpoints of regions that their route or customer excludes. Cause: the choice of an endpoint
// knew neither the restrictions nor the regions.
#include "whinyard/router/Forwarder.h"

#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using config::RequestKind;

    const RegionName north { "north" };
    const RegionName south { "south" };
    const std::map<ZoneName, RegionName> regions { { { "n1" }, north }, { { "n2" }, north }, { { "s1" }, south } };

    class ForwarderResidencyTest : public ::testing::TestWithParam<int> {
    protected:
        // Lists so many endpoints in each zone, named by it, one zone of which has no known region.
        ForwarderResidencyTest()
            : m_bench(static_cast<std::uint64_t>(GetParam()))
        {
            m_bench.directory.useRegions(regions);
            list({ "n1", "n2", "s1", "unknown" });
        }

        void list(const std::vector<std::string>& zones)
        {
            std::vector<backing::ListedEndpoint> listed;
            for (const std::string& zone : zones) {
                for (int i = 0; i < GetParam(); ++i)
                    listed.push_back(ForwarderBench::endpointIn({ zone }, zone + "-" + std::to_string(i)));
            }
            m_bench.useList(listed);
        }

        void restrictRoute(const std::set<RegionName>& allowed)
        {
            m_bench.routing.routes.front().allowedRegions = allowed;
            m_bench.publish();
        }

        void restrictCustomer(const std::set<RegionName>& allowed)
        {
            m_bench.routing.customers.front().allowedRegions = allowed;
            m_bench.publish();
        }

        // Checks that all attempts from `first` on went to zones that begin with `letter`, and that there are some.
        void expectSentOnlyTo(char letter, std::size_t first = 0) const
        {
            EXPECT_GT(m_bench.client.requests.size(), first);
            for (std::size_t attempt = first; attempt < m_bench.client.requests.size(); ++attempt)
                EXPECT_EQ(m_bench.sent(attempt, "endpoint").front(), letter) << "attempt " << attempt << " of " << m_bench.client.requests.size();
        }

        ForwarderBench m_bench;
    };

    TEST_P(ForwarderResidencyTest, KeepsFirstTriesAndRetriesInTheRegionsOfTheRoute)
    {
        restrictRoute({ south });
        for (int i = 0; i < 30; ++i) {
            m_bench.lose(50);
            m_bench.answer(200, { "whole" });
            m_bench.send();
            m_bench.clock.advance(100ms);
        }
        expectSentOnlyTo('s');
    }

    TEST_P(ForwarderResidencyTest, HoldsToTheRouteAndTheCustomerTogether)
    {
        restrictRoute({ north, south });
        restrictCustomer({ south });
        for (int i = 0; i < 30; ++i) {
            m_bench.answer(200, { "whole" });
            EXPECT_EQ(m_bench.send().response.status, 200);
        }
        expectSentOnlyTo('s');
    }

    TEST_P(ForwarderResidencyTest, ResumesAStreamInTheRegionsThatAreAllowedMeanwhile)
    {
        for (int i = 0; i < 30; ++i) {
            m_bench.useRoute(RequestKind::streaming, true);
            const std::size_t first = m_bench.client.requests.size();
            m_bench.answer(200, { "id: 1\ndata: x\n\n" }, true).onRead = [this] { restrictRoute({ south }); };
            m_bench.answer(200, { "id: 2\ndata: y\n\n" });
            const FakeResponder caller = m_bench.send();
            if (caller.response.body == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
                expectSentOnlyTo('s', first + 1);
            m_bench.clock.advance(1s);
        }
    }

    TEST_P(ForwarderResidencyTest, AsksALargerModelInTheSameRegions)
    {
        config::Route& route = m_bench.useRoute(RequestKind::streaming, true);
        route.models = { { "small" }, { "large" } };
        route.allowedRegions = { north };
        m_bench.publish();
        for (int i = 0; i < 30; ++i) {
            m_bench.script(200, { { "id", "q" }, { "signed", "s" }, { "confidence", "1" } }, { "id: 1\ndata: x\n\n" });
            m_bench.answer(200, { "id: 1\ndata: x\n\n" });
            m_bench.send({ { "model", "any" } });
            m_bench.client.exchanges.clear();
        }
        expectSentOnlyTo('n');
    }

    TEST_P(ForwarderResidencyTest, RefusesAtOnceWhereNoRegionIsLeft)
    {
        restrictRoute({ north });
        restrictCustomer({ south });
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.status, 503) << "not run, and the operators may change it";
        EXPECT_NE(caller.field("retry-after"), "0");
        EXPECT_TRUE(m_bench.client.requests.empty());
    }

    TEST_P(ForwarderResidencyTest, RefusesAtOnceWhereTheAllowedRegionsHaveNoEndpoint)
    {
        restrictRoute({ south });
        list({ "n1", "n2", "unknown" });
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_NE(caller.field("retry-after"), "0");
        EXPECT_TRUE(m_bench.client.requests.empty());
    }

    // All endpoints of the region have failed lately, those of other regions are sound.
    TEST_P(ForwarderResidencyTest, TriesAnUnsoundEndpointOfTheRegionRatherThanNone)
    {
        restrictRoute({ south });
        for (int i = 0; i < 60 * GetParam(); ++i) {
            m_bench.lose(0);
            m_bench.send();
            m_bench.client.exchanges.clear();
        }
        const std::size_t first = m_bench.client.requests.size();
        m_bench.answer(200, { "whole" });
        EXPECT_EQ(m_bench.send().response.status, 200);
        expectSentOnlyTo('s', first);
    }

    // Two endpoints a zone are all compared; of forty a few are drawn.
    INSTANTIATE_TEST_SUITE_P(SmallAndLargeZones, ForwarderResidencyTest, ::testing::Values(2, 40));

}
}
