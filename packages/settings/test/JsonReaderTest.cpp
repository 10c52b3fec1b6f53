#include "whinyard/settings/JsonReader.h"

#include <gtest/gtest.h>

#include <string>

namespace whinyard::settings {
namespace {

    // Guards against a process that ends with a document that it names a fault of.
    TEST(JsonReaderTest, RefusesDocumentsThatAreNestedTooDeeply)
    {
        for (const std::size_t levels : { std::size_t(200), std::size_t(300'000) }) {
            std::vector<JsonFault> faults;
            EXPECT_FALSE(parseJson(std::string(levels, '[') + std::string(levels, ']'), faults));
            EXPECT_EQ(faults.size(), 1U);
            EXPECT_FALSE(parseJson("// \"\n" + std::string(levels, '['), faults)) << "a quote within a comment";
        }
        std::vector<JsonFault> faults;
        EXPECT_TRUE(parseJson(R"({"a": [[[[{}]]]]})", faults));
        EXPECT_TRUE(faults.empty());
    }

}
}
