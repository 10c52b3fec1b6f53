#include "whinyard/config/Routing.h"

#include <gtest/gtest.h>

namespace whinyard::config {
namespace {

    Route route(const std::string& name, const std::string& host, const std::string& prefix)
    {
        Route made;
        made.name = name;
        made.host = host;
        made.prefix = prefix;
        return made;
    }

    TEST(RoutingTest, PrefersTheLongestPrefixOfTheHost)
    {
        Routing routing;
        routing.routes = { route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("mid", "a.example", "/x/"), route("other", "b.example", "/x/y/z/") };
        const RoutingTable table(routing);
        EXPECT_EQ(table.findRoute("a.example", "/x/y/z/1")->name, "deep");
        EXPECT_EQ(table.findRoute("A.Example:8080", "/x/1")->name, "mid");
        EXPECT_EQ(table.findRoute("a.example", "/x")->name, "root");
        EXPECT_EQ(table.findRoute("b.example", "/x/y/"), nullptr);
        EXPECT_EQ(table.findRoute("c.example", "/"), nullptr);
    }

    TEST(RoutingTest, FindsTheCustomerOfAKey)
    {
        Routing routing;
        routing.customers = { { { "school" }, { "k1", "k2" }, std::nullopt }, { { "town" }, { "k3" }, 0 } };
        const RoutingTable table(routing);
        EXPECT_EQ(table.findCustomer("k2")->name.value, "school");
        EXPECT_EQ(table.findCustomer("k3")->name.value, "town");
        EXPECT_EQ(table.findCustomer("k4"), nullptr);
        EXPECT_EQ(table.findCustomer(""), nullptr);
    }

    TEST(ResidencyTest, HoldsARequestToTheRegionsOfItsRouteAndItsCustomer)
    {
        const RegionName north { "north" };
        const RegionName south { "south" };
        Route anywhere = route("r", "a.example", "/");
        Route northern = anywhere;
        northern.allowedRegions = { north };
        RoutedCustomer customer;
        EXPECT_FALSE(Residency().isRestricted());
        EXPECT_FALSE(Residency(anywhere, nullptr).isRestricted());
        EXPECT_TRUE(Residency(anywhere, &customer).allows(south));
        EXPECT_TRUE(Residency(northern, &customer).allows(north));
        EXPECT_FALSE(Residency(northern, &customer).allows(south));
        customer.allowedRegions = { north, south };
        EXPECT_EQ(Residency(northern, &customer), Residency(northern, nullptr));
        EXPECT_FALSE(Residency(anywhere, &customer).allows({ "west" }));
        customer.allowedRegions = { south };
        EXPECT_TRUE(Residency(northern, &customer).allowsNone());
        EXPECT_FALSE(Residency(northern, &customer).allows(north));
        EXPECT_FALSE(Residency(anywhere, &customer).allowsNone());
    }

    TEST(RoutingTest, RepeatsStreamsOnlyWhereTheyResume)
    {
        Route stream = route("s", "a", "/");
        stream.kind = RequestKind::streaming;
        EXPECT_FALSE(stream.repeatable());
        stream.resumable = true;
        EXPECT_TRUE(stream.repeatable());
        stream.kind = RequestKind::nonIdempotent;
        EXPECT_FALSE(stream.repeatable());
    }

}
}
