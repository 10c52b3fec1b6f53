#include "whinyard/peer/RecordSnapshot.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    RecordSnapshot withRoutes(int count)
    {
        std::string configuration = R"({"version": 7, "routes": [)";
        for (int route = 0; route < count; ++route)
            configuration += R"({"name": "r-)" + std::to_string(route * 7919) + R"(", "host": "a.example", "prefix": "/p)" + std::to_string(route * 104'729) + R"(/", "kind": "idempotent", "timeout_ms": 1500, "service": "svc", "max_attempts": 2},)";
        return { 40, { { "configuration", configuration + "{}]}", 38 }, { "order/lm", "{}", 40 } } };
    }

    TEST(RecordSnapshotTest, ComesBackAsItWas)
    {
        const RecordSnapshot snapshot = withRoutes(1'000);
        Failure failure;
        const std::optional<RecordSnapshot> read = decodeSnapshot(encodeSnapshot(snapshot), failure);
        ASSERT_TRUE(read) << failure.reason;
        EXPECT_EQ(read->revision, 40U);
        ASSERT_EQ(read->records.size(), 2U);
        EXPECT_EQ(read->records.front().value, snapshot.records.front().value);
        EXPECT_EQ(read->records.back().key, "order/lm");
        EXPECT_EQ(read->records.back().revision, 40U);
    }

    TEST(RecordSnapshotTest, TakesASmallPartOfTheConfigurationsSize)
    {
        const RecordSnapshot snapshot = withRoutes(1'000);
        EXPECT_LT(encodeSnapshot(snapshot).size() * 8, snapshot.records.front().value.size());
    }

    TEST(RecordSnapshotTest, RefusesAnyOtherBytes)
    {
        const std::string good = encodeSnapshot(withRoutes(20));
        Random random(3);
        Failure failure;
        EXPECT_FALSE(decodeSnapshot("", failure));
        for (int trial = 0; trial < 2'000; ++trial) {
            std::string bytes = good.substr(0, below(random, good.size()));
            EXPECT_FALSE(decodeSnapshot(bytes, failure));
            bytes = good;
            bytes[below(random, bytes.size())] ^= static_cast<char>(1 + below(random, 255));
            decodeSnapshot(bytes, failure);
        }
    }

}
}
