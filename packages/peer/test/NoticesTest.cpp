#include "whinyard/peer/Notices.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    std::vector<Notice> samples()
    {
        backing::ListedEndpoint endpoint;
        endpoint.name.value = "i-1";
        endpoint.address = { "10.0.0.1", 8000 };
        endpoint.zone.value = "z";
        endpoint.service.value = "lm";
        endpoint.versions = { { "v1" } };
        endpoint.slots = 64;
        endpoint.leaving = true;
        endpoint.isSpot = true;
        const RequestDigest digest = digestOf({ .customer = "school", .method = "POST", .host = "a.example", .target = "/p/x", .body = "body" });
        return {
            WorkNotice { { "i-1" }, 350ms, { 7, 8 } },
            WorkNotice { { "i-1" }, 350ms, {} },
            WorkNotice { { "i-1" }, 350ms, { 7 }, 60'380, 5'600ms },
            WorkNotice { { "i-1" }, 350ms, {}, mostHeldTokens, longestHeld },
            PinNotice { { "lm" }, { 1, 0xFFFFFFFFFFFFFFFFULL } },
            PinNotice { { "lm" }, {} },
            EvidenceNotice { { "lm" }, { "entry-1" }, "{}" },
            ShiftNotice { { "lm" }, "{}", 9 },
            InstanceNotice { { "entry-1" }, { "10.0.0.1", 7340 }, 200 },
            RosterNotice { { "entry-1" }, 77, 3, { endpoint }, { { "i-2" } }, 11, false },
            RecordsNotice { { "entry-1" }, 11 },
            QueryNotice { { { { digest, { 7 }, LossStage::begun } }, { digest }, { { digest, { "lm" }, { { 7 }, { 8 }, { 9 } }, 600s } } } },
            QueryNotice {},
            RateNotice { { { { "i-1" }, 2.3, 70ms, std::nullopt }, { { "i-2" }, 0, 0ms, 12'000ms } } },
            RateNotice {},
            UsageNotice { { "entry-1" }, 77, { 353'445'120, { { { "school" }, 412 }, { { "town" }, 1 } } } },
            UsageNotice {},
            DemandNotice { { "entry-1" }, 77, { { { "lm" }, 9, 1, 350ms, 4 } } },
            DemandNotice {},
        };
    }

    TEST(NoticesTest, ReadsWhatItWrites)
    {
        for (const Notice& notice : samples())
            EXPECT_EQ(decodeNotice(encodeNotice(notice)), notice);
    }

    // Guards against a sender whose notice, with a request that is expected to last for very long, can't be read by anyone.
    TEST(NoticesTest, BoundsTheMemoryOfARequest)
    {
        const auto bounded = decodeNotice(encodeNotice(WorkNotice { { "i-1" }, 350ms, {}, mostHeldTokens + 1, longestHeld + 1ms }));
        EXPECT_EQ(bounded, Notice(WorkNotice { { "i-1" }, 350ms, {}, mostHeldTokens, longestHeld }));
        const auto negative = decodeNotice(encodeNotice(WorkNotice { { "i-1" }, 350ms, {}, 5, -1ms }));
        EXPECT_EQ(negative, Notice(WorkNotice { { "i-1" }, 350ms, {}, 5, 0ms }));
    }

    TEST(NoticesTest, ReadsInstanceRecords)
    {
        const InstanceNotice notice { { "entry-1" }, { "10.0.0.1", 7340 }, 200 };
        Failure failure;
        EXPECT_EQ(readInstanceRecord({ "entry-1" }, writeInstanceRecord(notice), failure), notice);
        EXPECT_EQ(readInstanceRecord({ "entry-1" }, "10.0.0.1:7340", failure)->linkMegabits, 0U);
        EXPECT_FALSE(readInstanceRecord({ "entry-1" }, "nowhere", failure));
    }

    TEST(NoticesTest, RefusesEveryOtherText)
    {
        EXPECT_FALSE(decodeNotice(""));
        for (const Notice& notice : samples()) {
            const std::string good = encodeNotice(notice);
            EXPECT_FALSE(decodeNotice(good + "x"));
            for (std::size_t size = 0; size < good.size(); ++size)
                EXPECT_FALSE(decodeNotice(good.substr(0, size))) << size;
        }
        EXPECT_FALSE(decodeNotice(encodeNotice(WorkNotice { { "i-1" }, -1us, {} })));
        EXPECT_FALSE(decodeNotice(encodeNotice(PinNotice { { "lm" }, std::vector<std::uint64_t>(mostPins + 1) })));
    }

    TEST(NoticesTest, BearsAnyChangedByte)
    {
        Random random(5);
        for (const Notice& notice : samples()) {
            const std::string good = encodeNotice(notice);
            for (int i = 0; i < 5'000; ++i) {
                std::string bytes = good;
                for (int change = 0; change < 3; ++change)
                    bytes[below(random, bytes.size())] = static_cast<char>(random());
                decodeNotice(bytes);
            }
        }
    }

}
}
