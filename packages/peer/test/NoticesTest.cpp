#include "whinyard/peer/Notices.h"

#include "whinyard/base/Random.h"
#include "whinyard/net/UdpSocket.h"

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
            WorkNotice { { "i-1" }, 350ms, { 7 }, 60'380, 5'600ms, 91 },
            WorkNotice { { "i-1" }, 350ms, {}, mostHeldTokens, longestHeld },
            PinNotice { { "lm" }, { 1, 0xFFFFFFFFFFFFFFFFULL } },
            PinNotice { { "lm" }, {} },
            EvidenceNotice { { "lm" }, { "entry-1" }, "{}" },
            ShiftNotice { { "lm" }, "{}", 9 },
            InstanceNotice { { "entry-1" }, { "10.0.0.1", 7340 }, 200 },
            RosterNotice { { "entry-1" }, 77, 3, { endpoint }, { { "i-2" } }, false, 80, 95, { "entry-2" }, 90, 11 },
            RecordsNotice { { "entry-1" }, 11 },
            QueryNotice { { { { digest, { 7 }, LossStage::begun } }, { digest }, { { digest, { "lm" }, { { 7 }, { 8 }, { 9 } }, 600s } } } },
            QueryNotice { { { { digest, { 7 }, LossStage::begun, { { 11 }, { 12 } }, 310ms }, { digest, { 8 }, LossStage::waiting, {}, 9ms } }, {}, { { traitOf({ 11 }), { "lm" }, { { 7 } }, 600s, 2'100ms } }, { { { 12 }, 520ms } } } },
            QueryNotice {},
            RateNotice { { { { "i-1" }, 2.3, 70ms, std::nullopt }, { { "i-2" }, 0, 0ms, 12'000ms } } },
            RateNotice {},
            UsageNotice { { "entry-1" }, 77, { 353'445'120, { { { "school" }, 412 }, { { "town" }, 1 } } } },
            UsageNotice {},
            DemandNotice { { "entry-1" }, 77, { { { "lm" }, 9, 1, 350ms, 4 } } },
            DemandNotice {},
            PlaceRequestNotice { { "plain" }, "v1", { { { "entry-1" }, 0xFFFFFFFFFFFFFFFFULL }, { "z" }, { "school" }, 2, 140ms, 1'490ms, { { "i-1" }, { "i-2" } } } },
            PlaceRequestNotice {},
            PlaceAnswerNotice { { "entry-2" }, { "plain" }, "v1", { { { "entry-1" }, 7 }, policy::PermitVerdict::granted, { "i-1" }, 0ms } },
            PlaceAnswerNotice { { "entry-2" }, { "plain" }, "v1", { { { "entry-1" }, 7 }, policy::PermitVerdict::noEndpoint, {}, 900ms } },
            PlaceReturnNotice { { "plain" }, "v1", { { "entry-1" }, 7 }, policy::EndpointOutcome::leaving, 61'000us },
            PlaceReturnNotice { { "plain" }, "v1", { { "entry-1" }, 7 }, std::nullopt, 0us },
            PlacesHeldNotice { { "entry-1" }, { "plain" }, "v1", { { 7, { "i-1" } }, { 8, { "i-2" } } } },
            PlacesHeldNotice {},
            PaceNotice { { { { "i-1" }, 1'764'766'000'000, 1.182, 2 }, { { "i-2" }, 0, -0.25, 1 } } },
            PaceNotice {},
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

    // A datagram of a faulty or foreign sender must not make the receiver reserve memory for any number of entries.
    TEST(NoticesTest, RefusesMorePlacesThanANoticeHolds)
    {
        PlaceRequestNotice request;
        request.request.excluded.resize(mostExcludedPlaces);
        EXPECT_TRUE(decodeNotice(encodeNotice(request)));
        request.request.excluded.resize(mostExcludedPlaces + 1);
        EXPECT_FALSE(decodeNotice(encodeNotice(request)));
        PlacesHeldNotice held;
        held.permits.resize(mostHeldPlaces);
        EXPECT_TRUE(decodeNotice(encodeNotice(held)));
        held.permits.resize(mostHeldPlaces + 1);
        EXPECT_FALSE(decodeNotice(encodeNotice(held)));
        EXPECT_FALSE(decodeNotice(encodeNotice(PlaceRequestNotice { { std::string(2'000, 's') }, "v1", {} })));
    }

    // A value outside of its list would be used as an index or compared as a time that never comes.
    TEST(NoticesTest, RefusesPlaceValuesOutsideOfTheirRange)
    {
        PlaceAnswerNotice answer;
        answer.decision.verdict = static_cast<policy::PermitVerdict>(4);
        EXPECT_FALSE(decodeNotice(encodeNotice(answer)));
        PlaceReturnNotice back;
        back.outcome = static_cast<policy::EndpointOutcome>(7);
        EXPECT_FALSE(decodeNotice(encodeNotice(back)));
    }

    // The objective of a request that is late already has passed; its notice must reach the coordinator all the same.
    TEST(NoticesTest, WritesPassedTimesAsZero)
    {
        PlaceRequestNotice request;
        request.request.objectiveLeft = -30ms;
        const std::optional<Notice> read = decodeNotice(encodeNotice(request));
        ASSERT_TRUE(read);
        EXPECT_EQ(std::get<PlaceRequestNotice>(*read).request.objectiveLeft, 0ms);
    }

    // Three messages for each request of the service are affordable only as long as each is small.
    TEST(NoticesTest, PlaceNoticesStaySmall)
    {
        constexpr std::size_t mostBytes = 200;
        const policy::PermitId id { { "entry-42" }, 7 };
        EXPECT_LE(encodeNotice(PlaceRequestNotice { { "classify" }, "v1", { id, { "zone-1" }, { "customer-7" }, 1, 300ms, 1'500ms, {} } }).size(), mostBytes);
        EXPECT_LE(encodeNotice(PlaceAnswerNotice { { "entry-2" }, { "classify" }, "v1", { id, policy::PermitVerdict::granted, { "classify-3" }, 0ms } }).size(), mostBytes);
        EXPECT_LE(encodeNotice(PlaceReturnNotice { { "classify" }, "v1", id, policy::EndpointOutcome::succeeded, 60'000us }).size(), mostBytes);
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

    // Guards against statements that are never sent, since the most changes that one may hold don't fit into a datagram.
    TEST(NoticesTest, FitsIntoADatagramWithTheMostChanges)
    {
        Random random(5);
        const auto hex = [&](int digits) {
            std::string text;
            for (int i = 0; i < digits; ++i)
                text += "0123456789abcdef"[below(random, 16)];
            return text;
        };
        RosterNotice notice { { "entry-" + hex(20) }, random(), random(), {}, {}, true, { random(), random() }, { random(), random() }, { "entry-" + hex(20) }, { random(), random() }, { random(), random() } };
        for (std::size_t i = 0; i < mostRosterChanges; ++i) {
            backing::ListedEndpoint endpoint;
            endpoint.name.value = "i-" + hex(10);
            endpoint.address = { std::to_string(below(random, 256)) + "." + std::to_string(below(random, 256)) + "." + std::to_string(below(random, 256)) + "." + std::to_string(below(random, 256)), static_cast<std::uint16_t>(random()) };
            endpoint.zone.value = "zone-" + hex(8);
            endpoint.service.value = "service-" + hex(8);
            endpoint.versions = { { "v" + hex(6) } };
            endpoint.slots = static_cast<std::uint32_t>(random());
            endpoint.coldLeft = std::chrono::milliseconds(below(random, 100'000));
            endpoint.born = random();
            notice.changed.push_back(endpoint);
        }
        const std::string bytes = encodeNotice(notice);
        EXPECT_LE(bytes.size(), net::maximumDatagramBytes);
        EXPECT_EQ(decodeNotice(bytes), Notice(notice));
    }

}
}
