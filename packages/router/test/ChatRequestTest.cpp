// Bodies of chat requests that are no such requests.
#include "whinyard/router/ChatRequest.h"

#include "whinyard/net/Duty.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    std::string nestedContent(std::size_t levels)
    {
        return R"({"model": "m", "messages": [{"role": "user", "content": [{"a": )" + std::string(levels, '[') + std::string(levels, ']') + "}]}]}";
    }

    // Guards against a process that ends with a request: copies and writes of a document call themselves for each level.
    TEST(ChatRequestTest, RefusesDocumentsThatAreNestedTooDeeply)
    {
        net::Duty duty("test");
        for (const std::size_t levels : { std::size_t(200), std::size_t(5'000), std::size_t(300'000) }) {
            for (const std::string& body : { nestedContent(levels), R"({"model": "m", "x": )" + std::string(levels, '[') + std::string(levels, ']') + R"(, "messages": [{"role": "user", "content": "c"}]})" }) {
                Failure failure;
                net::runOn(duty, [&] {
                    if (const auto request = parseChatRequest(body, failure))
                        engineBody(*request, { "v1" }, 1);
                });
                EXPECT_EQ(failure.kind, ErrorKind::malformedRequest) << levels;
            }
        }
    }

    TEST(ChatRequestTest, TakesUsualNestingAndBracketsInTexts)
    {
        Failure failure;
        EXPECT_TRUE(parseChatRequest(nestedContent(20), failure)) << failure.reason;
        EXPECT_TRUE(parseChatRequest(R"({"model": "m", "messages": [{"role": "user", "content": ")" + std::string(1'000, '[') + R"(\"[{\\"}]})", failure)) << failure.reason;
    }

}
}
