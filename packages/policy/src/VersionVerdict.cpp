#include "whinyard/policy/VersionVerdict.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace whinyard::policy {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t format = 1;
    constexpr std::size_t maximumCountBytes = 64; // About the most that a row of counts takes.

    bool before(const ExposureCount& a, const ExposureCount& b)
    {
        return std::tie(a.instance, a.incarnation) < std::tie(b.instance, b.incarnation);
    }

    json pack(const ExposureCount& count)
    {
        return json::array({ count.instance.value, count.incarnation.number, count.exposed, count.rated.good, count.rated.bad });
    }

    json pack(const VersionVerdict& verdict)
    {
        json counts = json::array();
        for (const ExposureCount& count : verdict.counts)
            counts.push_back(pack(count));
        return json::array({ verdict.version.value, verdict.trial, static_cast<unsigned>(verdict.stop), verdict.passed, std::move(counts) });
    }

    std::string packAll(const std::vector<VersionVerdict>& verdicts)
    {
        json list = json::array();
        for (const VersionVerdict& verdict : verdicts)
            list.push_back(pack(verdict));
        std::string bytes;
        json::to_msgpack(json::array({ format, std::move(list) }), bytes);
        return bytes;
    }

    // Drops the smallest count that isn't of the own life; returns false when there is none.
    bool dropSmallest(std::vector<VersionVerdict>& verdicts, const InstanceName& ownInstance, Incarnation ownIncarnation)
    {
        VersionVerdict* owner = nullptr;
        std::size_t smallest = 0;
        for (VersionVerdict& verdict : verdicts) {
            for (std::size_t i = 0; i < verdict.counts.size(); ++i) {
                const ExposureCount& count = verdict.counts[i];
                if (count.instance == ownInstance && count.incarnation == ownIncarnation)
                    continue;
                if (owner && owner->counts[smallest].rated.total() <= count.rated.total())
                    continue;
                owner = &verdict;
                smallest = i;
            }
        }
        if (!owner)
            return false;
        owner->counts.erase(owner->counts.begin() + static_cast<std::ptrdiff_t>(smallest));
        return true;
    }

    bool isRow(const json& value, std::size_t size) { return value.is_array() && value.size() == size; }

    std::optional<ExposureCount> unpackCount(const json& row)
    {
        if (!isRow(row, 5) || !row[0].is_string())
            return std::nullopt;
        if (!std::all_of(row.begin() + 1, row.end(), [](const json& number) { return number.is_number_unsigned(); }))
            return std::nullopt;
        return ExposureCount { InstanceName { row[0].get<std::string>() }, Incarnation { row[1].get<std::uint64_t>() }, row[2].get<std::uint64_t>(), { row[3].get<std::uint64_t>(), row[4].get<std::uint64_t>() } };
    }

    std::optional<VersionVerdict> unpackVerdict(const json& row)
    {
        if (!isRow(row, 5) || !row[0].is_string() || !row[1].is_number_unsigned() || !row[2].is_number_unsigned() || !row[3].is_boolean() || !row[4].is_array())
            return std::nullopt;
        if (row[2].get<unsigned>() > static_cast<unsigned>(StopReason::bad))
            return std::nullopt;
        VersionVerdict verdict { VersionName { row[0].get<std::string>() }, row[1].get<std::uint32_t>(), static_cast<StopReason>(row[2].get<unsigned>()), row[3].get<bool>(), {} };
        for (const json& countRow : row[4]) {
            const auto count = unpackCount(countRow);
            if (!count)
                return std::nullopt;
            verdict.countOf(count->instance, count->incarnation) = *count;
        }
        return verdict;
    }

}

std::string_view toText(StopReason reason)
{
    static constexpr std::array<std::string_view, 4> names { "none", "undecided", "turnedBad", "bad" };
    return names[static_cast<std::size_t>(reason)];
}

void VersionVerdict::merge(const VersionVerdict& other)
{
    stop = std::max(stop, other.stop);
    passed = passed || other.passed;
    for (const ExposureCount& theirs : other.counts) {
        ExposureCount& ours = countOf(theirs.instance, theirs.incarnation);
        ours.exposed = std::max(ours.exposed, theirs.exposed);
        ours.rated.good = std::max(ours.rated.good, theirs.rated.good);
        ours.rated.bad = std::max(ours.rated.bad, theirs.rated.bad);
    }
}

ExposureCount& VersionVerdict::countOf(const InstanceName& instance, Incarnation incarnation)
{
    const ExposureCount wanted { instance, incarnation, 0, {} };
    const auto place = std::lower_bound(counts.begin(), counts.end(), wanted, before);
    if (place != counts.end() && !before(wanted, *place))
        return *place;
    return *counts.insert(place, wanted);
}

std::uint64_t VersionVerdict::exposed() const
{
    std::uint64_t sum = 0;
    for (const ExposureCount& count : counts)
        sum += count.exposed;
    return sum;
}

RatedCounts VersionVerdict::rated() const
{
    RatedCounts sum;
    for (const ExposureCount& count : counts) {
        sum.good += count.rated.good;
        sum.bad += count.rated.bad;
    }
    return sum;
}

std::string packVerdicts(std::vector<VersionVerdict> verdicts, const InstanceName& ownInstance, Incarnation ownIncarnation, std::size_t maximumBytes)
{
    std::string bytes = packAll(verdicts);
    while (bytes.size() > maximumBytes) {
        const std::size_t surplus = (bytes.size() - maximumBytes) / maximumCountBytes + 1;
        for (std::size_t i = 0; i < surplus; ++i) {
            if (!dropSmallest(verdicts, ownInstance, ownIncarnation))
                return packAll(verdicts);
        }
        bytes = packAll(verdicts);
    }
    return bytes;
}

std::optional<std::vector<VersionVerdict>> unpackVerdicts(std::string_view bytes)
{
    const json packed = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!isRow(packed, 2) || packed[0] != format || !packed[1].is_array())
        return std::nullopt;
    std::vector<VersionVerdict> verdicts;
    for (const json& row : packed[1]) {
        auto verdict = unpackVerdict(row);
        if (!verdict)
            return std::nullopt;
        verdicts.push_back(std::move(*verdict));
    }
    return verdicts;
}

}
