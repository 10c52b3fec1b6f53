#include "whinyard/settings/EntryTuning.h"

#include <gtest/gtest.h>

namespace whinyard::settings {
namespace {

    TEST(EntryTuningTest, TakesDefaultsAndComments)
    {
        Failure failure;
        const auto tuning = parseEntryTuning("{ // nothing but a comment\n \"worthPerThousandTokens\": 3.5, \"zonePenaltyMs\": 7 }", "t.json", failure);
        ASSERT_TRUE(tuning) << failure.reason;
        EXPECT_EQ(tuning->worthPerThousandTokens, 3.5);
        EXPECT_EQ(tuning->zonePenalty, std::chrono::milliseconds(7));
        EXPECT_EQ(tuning->logLevel, "info");
    }

    // Guards against behavior that is on without anybody having asked for it.
    TEST(EntryTuningTest, AccountsMemoryOnlyWhereItIsSet)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning("{}", "t.json", failure)->accountMemory);
        EXPECT_TRUE(parseEntryTuning(R"({"accountMemory": true})", "t.json", failure)->accountMemory);
        EXPECT_FALSE(parseEntryTuning(R"({"accountMemory": 1})", "t.json", failure));
        EXPECT_NE(failure.reason.find("/accountMemory"), std::string::npos) << failure.reason;
    }

    TEST(EntryTuningTest, NamesEveryFault)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning(R"({"worthPerThousandTokens": 0, "unheardOf": 1, "smallFirstBelow": "x"})", "t.json", failure));
        EXPECT_EQ(failure.kind, ErrorKind::invalidSettings);
        for (const char* part : { "t.json", "/worthPerThousandTokens", "/unheardOf", "/smallFirstBelow" })
            EXPECT_NE(failure.reason.find(part), std::string::npos) << part << " in " << failure.reason;
        EXPECT_FALSE(parseEntryTuning("{", "t.json", failure));
        EXPECT_FALSE(loadEntryTuning("/nowhere/t.json", failure));
    }

}
}
