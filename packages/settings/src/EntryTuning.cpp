#include "whinyard/settings/EntryTuning.h"

#include "whinyard/settings/JsonReader.h"

#include <fstream>
#include <sstream>

namespace whinyard::settings {

namespace {

    using std::chrono::milliseconds;

    constexpr double leastWorth = 0.001;
    constexpr double greatestWorth = 1'000;

    EntryTuning readTuning(JsonObject& object)
    {
        EntryTuning tuning;
        object.number("smallFirstBelow", tuning.smallFirstBelow, Presence::optional, { 0, 1 });
        object.number("worthPerThousandTokens", tuning.worthPerThousandTokens, Presence::optional, { leastWorth, greatestWorth });
        if (!object.numbers("worthByPriority", tuning.worthOfPriorities, { leastWorth, greatestWorth }))
            object.number("worthByPriority", tuning.worthByPriority, Presence::optional, { leastWorth, 1 });
        object.number("lateWorth", tuning.lateWorth, Presence::optional, { 0, 1 });
        object.boolean("modelBySize", tuning.modelBySize, Presence::optional);
        object.number("delayShare", tuning.delayShare, Presence::optional, { 0, 100 });
        object.boolean("delayByBusyShare", tuning.delayByBusyShare, Presence::optional);
        object.number("zoneFactor", tuning.zoneFactor, Presence::optional, { 0, 100 });
        object.milliseconds("zonePenaltyMs", tuning.zonePenalty, Presence::optional, { milliseconds(0), milliseconds(10'000) });
        object.milliseconds("regionPenaltyMs", tuning.regionPenalty, Presence::optional, { milliseconds(0), milliseconds(10'000) });
        std::uint32_t rereadPenalty = static_cast<std::uint32_t>(tuning.rereadPenalty.count());
        object.integer<std::uint32_t>("rereadPenaltyUs", rereadPenalty, Presence::optional, { 0, 10'000 });
        tuning.rereadPenalty = std::chrono::microseconds(rereadPenalty);
        object.number("affinityCachedShare", tuning.affinityCachedShare, Presence::optional, { 0, 1 });
        object.integer<std::uint32_t>("randomChoices", tuning.randomChoices, Presence::optional, { 0, 16 });
        object.integer<std::uint32_t>("fullScanLimit", tuning.fullScanLimit, Presence::optional, { 0, 10'000 });
        object.boolean("sharePlaces", tuning.sharePlaces, Presence::optional);
        object.boolean("sharePaces", tuning.sharePaces, Presence::optional);
        object.boolean("accountMemory", tuning.accountMemory, Presence::optional);
        object.text("logLevel", tuning.logLevel, Presence::optional);
        object.finish();
        return tuning;
    }

}

std::optional<EntryTuning> parseEntryTuning(std::string_view text, std::string_view file, Failure& failure)
{
    std::vector<JsonFault> faults;
    EntryTuning tuning;
    if (const std::optional<nlohmann::json> json = parseJson(text, faults)) {
        JsonObject object(*json, "", faults);
        tuning = readTuning(object);
    }
    if (faults.empty())
        return tuning;
    failure = { .kind = ErrorKind::invalidSettings, .reason = std::string(file) + ": " + toText(faults) };
    return std::nullopt;
}

std::optional<EntryTuning> loadEntryTuning(const std::string& file, Failure& failure)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        failure = { .kind = ErrorKind::invalidSettings, .reason = file + ": can't be read" };
        return std::nullopt;
    }
    return parseEntryTuning(text.str(), file, failure);
}

}
