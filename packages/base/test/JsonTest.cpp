#include "whinyard/base/Json.h"

#include <gtest/gtest.h>

#include <string>

namespace whinyard {
namespace {

    std::string nested(std::size_t levels)
    {
        return std::string(levels, '[') + std::string(levels, ']');
    }

    // Guards against values that can't be copied or written on a fiber's stack.
    TEST(JsonTest, RefusesWhatIsNestedTooDeeply)
    {
        EXPECT_TRUE(parseUntrustedJson(nested(deepestJson)).is_array());
        EXPECT_TRUE(parseUntrustedJson(nested(deepestJson + 1)).is_discarded());
        EXPECT_TRUE(parseUntrustedJson(R"({"a":"\"[", "b":)" + nested(deepestJson) + "}").is_discarded());
        EXPECT_TRUE(parseUntrustedJson(R"({"a":"\\", "b":)" + nested(deepestJson) + "}").is_discarded());
        EXPECT_TRUE(parseUntrustedJson(std::string(1'000'000, '{')).is_discarded());
    }

    TEST(JsonTest, CountsNoBracketsWithinTextsAndNoneThatAreClosed)
    {
        std::string many = "[";
        for (int i = 0; i < 1'000; ++i)
            many += "[],";
        EXPECT_TRUE(parseUntrustedJson(many + "[]]").is_array());
        EXPECT_TRUE(parseUntrustedJson("[\"" + std::string(1'000, '{') + "\\\"" + std::string(1'000, '[') + "\"]").is_array());
    }

    TEST(JsonTest, DiscardsWhatIsNoJson)
    {
        for (const char* text : { "", "]", "{", "{]", "1e999", "\"\xff\"" })
            EXPECT_TRUE(parseUntrustedJson(text).is_discarded()) << text;
    }

}
}
