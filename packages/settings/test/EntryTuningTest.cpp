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

    TEST(EntryTuningTest, TakesAFactorOrTheWorthOfEachPriority)
    {
        Failure failure;
        const auto factor = parseEntryTuning(R"({"worthByPriority": 0.6, "lateWorth": 0.3, "modelBySize": true})", "t.json", failure);
        ASSERT_TRUE(factor) << failure.reason;
        EXPECT_EQ(factor->worthByPriority, 0.6);
        EXPECT_TRUE(factor->worthOfPriorities.empty());
        EXPECT_EQ(factor->lateWorth, 0.3);
        EXPECT_TRUE(factor->modelBySize);
        const auto list = parseEntryTuning(R"({"worthByPriority": [3.6, 1.5, 0.8]})", "t.json", failure);
        ASSERT_TRUE(list) << failure.reason;
        EXPECT_EQ(list->worthOfPriorities, (std::vector<double> { 3.6, 1.5, 0.8 }));
        EXPECT_EQ(list->lateWorth, 0.5);
        EXPECT_FALSE(list->modelBySize) << "new choices are off unless they are asked for";
    }

    // A worth of zero would divide by zero, and an empty list names no priority at all.
    TEST(EntryTuningTest, NamesFaultyWorths)
    {
        Failure failure;
        EXPECT_FALSE(parseEntryTuning(R"({"worthByPriority": [3.6, 0, "x"], "lateWorth": 1.1, "modelBySize": 1, "unheardOf": 1})", "t.json", failure));
        for (const char* part : { "/worthByPriority/1", "/worthByPriority/2", "/lateWorth", "/modelBySize", "/unheardOf" })
            EXPECT_NE(failure.reason.find(part), std::string::npos) << part << " in " << failure.reason;
        EXPECT_EQ(failure.reason.find("/worthByPriority/0"), std::string::npos) << failure.reason;
        EXPECT_FALSE(parseEntryTuning(R"({"worthByPriority": []})", "t.json", failure));
        EXPECT_NE(failure.reason.find("/worthByPriority"), std::string::npos) << failure.reason;
        EXPECT_FALSE(parseEntryTuning(R"({"worthByPriority": 1.1})", "t.json", failure)) << "as a factor it is at most 1";
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
