#include "whinyard/backing/CountedStore.h"

#include "whinyard/backing/FakeWatchableStore.h"

#include <gtest/gtest.h>

namespace whinyard::backing {
namespace {

    TEST(CountedStoreTest, CountsCallsByPurposeInTenths)
    {
        Metrics metrics;
        auto fake = std::make_unique<FakeWatchableStore>();
        fake->write("a/1", "value");
        CountedStore store(std::move(fake), metrics);
        Failure failure;
        EXPECT_EQ(store.range("a/", "", ReadAge::newest, failure)->records.size(), 1U);
        store.range("a/", "", ReadAge::mayBeOld, failure);
        store.watch("a/", 0, std::chrono::seconds(1), failure);
        store.answers(failure);
        const std::string text = metrics.render();
        EXPECT_NE(text.find(R"(whinyard_store_call_tenths_total{call="range",prefix="a/"} 11)"), std::string::npos) << text;
        EXPECT_NE(text.find(R"(whinyard_store_call_tenths_total{call="watch",prefix="a/"} 10)"), std::string::npos) << text;
        EXPECT_NE(text.find(R"(whinyard_store_call_tenths_total{call="probe",prefix=""} 1)"), std::string::npos) << text;
    }

}
}
