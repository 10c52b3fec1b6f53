#include "whinyard/peer/RecordSnapshot.h"

#include "whinyard/base/Compression.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <algorithm>
#include <sstream>

namespace whinyard::peer {

namespace {

    constexpr std::uint16_t snapshotFormat = 2;

    // Guards memory against a foreign length; a record holds at most a megabyte.
    constexpr std::size_t largestSnapshot = 64 * 1'024 * 1'024;
    constexpr std::uint32_t mostRecords = 10'000;

    template <typename Archive>
    void write(Archive& archive, const Revision& revision)
    {
        archive(revision.era, revision.number);
    }

    template <typename Archive>
    void write(Archive& archive, const backing::Record& record)
    {
        archive(record.key, record.value);
        write(archive, record.revision);
    }

    template <typename Archive>
    Revision readRevision(Archive& archive)
    {
        Revision revision;
        archive(revision.era, revision.number);
        return revision;
    }

    template <typename Archive>
    backing::Record readRecord(Archive& archive)
    {
        backing::Record record;
        archive(record.key, record.value);
        record.revision = readRevision(archive);
        return record;
    }

    template <typename Archive>
    CarriedRecord readCarried(Archive& archive)
    {
        CarriedRecord carried;
        bool isCopied = false;
        std::int64_t left = 0;
        archive(carried.key, left, isCopied);
        carried.left = std::chrono::milliseconds(left);
        if (isCopied)
            carried.copied = readRecord(archive);
        return carried;
    }

    std::optional<RecordSnapshot> readSnapshot(const std::string& text)
    {
        std::istringstream stream(text);
        try {
            cereal::PortableBinaryInputArchive archive(stream);
            std::uint16_t format = 0;
            std::uint32_t records = 0;
            std::uint32_t carried = 0;
            std::uint32_t renamed = 0;
            RecordSnapshot snapshot;
            archive(format);
            if (format != snapshotFormat)
                return std::nullopt;
            snapshot.revision = readRevision(archive);
            archive(records, carried, renamed);
            if (std::max({ records, carried, renamed }) > mostRecords)
                return std::nullopt;
            for (std::uint32_t i = 0; i < records; ++i)
                snapshot.records.push_back(readRecord(archive));
            for (std::uint32_t i = 0; i < carried; ++i)
                snapshot.carried.push_back(readCarried(archive));
            for (std::uint32_t i = 0; i < renamed; ++i) {
                std::string key;
                archive(key);
                snapshot.storedAs[key] = readRevision(archive);
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
        archive(snapshotFormat);
        write(archive, snapshot.revision);
        archive(static_cast<std::uint32_t>(snapshot.records.size()), static_cast<std::uint32_t>(snapshot.carried.size()), static_cast<std::uint32_t>(snapshot.storedAs.size()));
        for (const backing::Record& record : snapshot.records)
            write(archive, record);
        for (const CarriedRecord& carried : snapshot.carried) {
            archive(carried.key, static_cast<std::int64_t>(carried.left.count()), carried.copied.has_value());
            if (carried.copied)
                write(archive, *carried.copied);
        }
        for (const auto& [key, revision] : snapshot.storedAs) {
            archive(key);
            write(archive, revision);
        }
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
