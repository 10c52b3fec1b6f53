#include "whinyard/peer/RecordSnapshot.h"

#include "whinyard/base/Compression.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

namespace whinyard::peer {

namespace {

    constexpr std::uint16_t snapshotFormat = 1;

    // Guards memory against a foreign length; a record holds at most a megabyte.
    constexpr std::size_t largestSnapshot = 64 * 1'024 * 1'024;
    constexpr std::uint32_t mostRecords = 10'000;

    std::optional<RecordSnapshot> readSnapshot(const std::string& text)
    {
        std::istringstream stream(text);
        try {
            cereal::PortableBinaryInputArchive archive(stream);
            std::uint16_t format = 0;
            std::uint32_t count = 0;
            RecordSnapshot snapshot;
            archive(format, snapshot.revision, count);
            if (format != snapshotFormat || count > mostRecords)
                return std::nullopt;
            for (std::uint32_t i = 0; i < count; ++i) {
                backing::Record record;
                archive(record.key, record.value, record.revision);
                snapshot.records.push_back(std::move(record));
            }
            return snapshot;
        } catch (const std::exception&) { // A foreign length can't be reserved.
            return std::nullopt;
        }
    }

}

std::string encodeSnapshot(const RecordSnapshot& snapshot)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(snapshotFormat, snapshot.revision, static_cast<std::uint32_t>(snapshot.records.size()));
        for (const backing::Record& record : snapshot.records)
            archive(record.key, record.value, record.revision);
    }
    return compress(std::move(stream).str());
}

std::optional<RecordSnapshot> decodeSnapshot(std::string_view bytes, Failure& failure)
{
    const std::optional<std::string> text = decompress(bytes, largestSnapshot, failure);
    if (!text)
        return std::nullopt;
    std::optional<RecordSnapshot> snapshot = readSnapshot(*text);
    if (!snapshot)
        failure = { .kind = ErrorKind::corruptRecord, .reason = "the records that another instance told can't be read" };
    return snapshot;
}

}
