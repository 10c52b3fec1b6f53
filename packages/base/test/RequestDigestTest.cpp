#include "whinyard/base/RequestDigest.h"

#include <gtest/gtest.h>

#include <set>

namespace whinyard {
namespace {

    constexpr RequestContent content { .customer = "school", .method = "POST", .host = "a.example", .target = "/p/x", .body = "body" };

    TEST(RequestDigestTest, IsTheSameForTheSameRequest)
    {
        EXPECT_EQ(digestOf(content), digestOf(content));
    }

    TEST(RequestDigestTest, DiffersWithEachPart)
    {
        std::set<RequestDigest> digests { digestOf(content) };
        for (const auto part : { &RequestContent::customer, &RequestContent::method, &RequestContent::host, &RequestContent::target, &RequestContent::body }) {
            RequestContent other = content;
            other.*part = "other";
            digests.insert(digestOf(other));
        }
        EXPECT_EQ(digests.size(), 6U);
    }

    // A caller who could move bytes of his path into another customer's name would have that one's request refused.
    TEST(RequestDigestTest, TellsPartsApartWhateverTheyHold)
    {
        RequestContent moved = content;
        moved.customer = "schoolPOST";
        moved.method = "";
        EXPECT_NE(digestOf(moved), digestOf(content));
    }

    TEST(RequestDigestTest, TellsPartsOfPromptsFromRequests)
    {
        const PartDigest part = digestOfPart({ "lm" }, 7);
        EXPECT_EQ(partOf(traitOf(part)), part);
        EXPECT_EQ(partOf(digestOf(content)), std::nullopt);
        EXPECT_EQ(partOf({}), std::nullopt);
        EXPECT_NE(digestOfPart({ "other" }, 7), part) << "another service's endpoints may bear it";
        EXPECT_EQ(toText({ part, { 1 } }), toText(traitOf(part)) + "," + toText(traitOf({ 1 })));
    }

    TEST(RequestDigestTest, ReadsWhatItWrites)
    {
        const RequestDigest digest = digestOf(content);
        EXPECT_EQ(parseRequestDigest(toText(digest)), digest);
        for (const char* text : { "", "00", "zz112233445566778899aabbccddeeff", "+0112233445566778899aabbccddeeff", "00112233445566778899aabbccddeeff0" })
            EXPECT_FALSE(parseRequestDigest(text)) << text;
    }

}
}
