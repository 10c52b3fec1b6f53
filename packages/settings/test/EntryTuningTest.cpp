#include "whinyard/settings/EntryTuning.h"

#include <gtest/gtest.h>

namespace whinyard::settings {
namespace {

    TEST(EntryTuningTest, TakesDefaultsAndComments)
    {
        Failure failure;
        const auto tuning = parseEntryTuning("{ // nothing but a comment\n \"acceptFrom\": 60, \"zonePenaltyMs\": 7 }", "t.json", failure);
        ASSERT_TRUE(tuning) << failure.reason;
        EXPECT_EQ(tuning->acceptFrom, 60U);
        EXPECT_EQ(tuning->zonePenalty, std::chrono::milliseconds(7));
        EXPECT_EQ(tuning->logLevel, "info");
    }

    TEST(EntryTuningTest, NamesEveryFault)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning(R"({"acceptFrom": 500, "unheardOf": 1, "smallFirstBelow": "x"})", "t.json", failure));
        EXPECT_EQ(failure.kind, ErrorKind::invalidSettings);
        for (const char* part : { "t.json", "/acceptFrom", "/unheardOf", "/smallFirstBelow" })
            EXPECT_NE(failure.reason.find(part), std::string::npos) << part << " in " << failure.reason;
        EXPECT_FALSE(parseEntryTuning("{", "t.json", failure));
        EXPECT_FALSE(loadEntryTuning("/nowhere/t.json", failure));
    }

}
}
