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

    // Granting of slots by a coordinator changes how requests travel; a file that doesn't name it must leave it off.
    TEST(EntryTuningTest, SharesPlacesOnlyWhereItIsTold)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning("{}", "t.json", failure)->sharePlaces);
        EXPECT_TRUE(parseEntryTuning(R"({"sharePlaces": true})", "t.json", failure)->sharePlaces);
        EXPECT_FALSE(parseEntryTuning(R"({"sharePlaces": 1})", "t.json", failure));
    }

    // Guards against paces that are shared where nobody asked for it.
    TEST(EntryTuningTest, SharesPacesOnlyOnDemand)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning("{}", "t.json", failure)->sharePaces);
        EXPECT_TRUE(parseEntryTuning(R"({ "sharePaces": true })", "t.json", failure)->sharePaces);
        EXPECT_FALSE(parseEntryTuning(R"({ "sharePaces": 1 })", "t.json", failure));
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
