#include "whinyard/peer/RosterList.h"

#include "internal/Fields.h"
#include "whinyard/base/Compression.h"

namespace whinyard::peer {

namespace {

    constexpr std::uint64_t rosterFormat = 5;
    constexpr std::size_t largestRoster = 16 * 1'024 * 1'024; // Guards memory against a foreign length.
    constexpr std::uint64_t mostEndpoints = 100'000;

    std::optional<RosterList> readRoster(const std::string& text)
    {
        internal::FieldReader reader(text);
        if (reader.number() != rosterFormat)
            return std::nullopt;
        RosterList list;
        list.instance.value = reader.text();
        list.operators = reader.revision();
        list.since = reader.revision();
        list.upTo = reader.revision();
        const std::uint64_t count = reader.number(mostEndpoints);
        for (std::uint64_t i = 0; i < count; ++i) {
            std::optional<backing::ListedEndpoint> endpoint = internal::readEndpoint(reader);
            if (!endpoint)
                return std::nullopt;
            list.endpoints.push_back(std::move(*endpoint));
        }
        const std::uint64_t gone = reader.number(mostEndpoints);
        for (std::uint64_t i = 0; i < gone && !reader.hasFailed(); ++i)
            list.gone.push_back({ reader.text() });
        return reader.isWhole() ? std::optional(std::move(list)) : std::nullopt;
    }

}

std::string encodeRoster(const RosterList& list)
{
    internal::FieldWriter writer;
    writer.number(rosterFormat);
    writer.text(list.instance.value);
    writer.revision(list.operators);
    writer.revision(list.since);
    writer.revision(list.upTo);
    writer.number(list.endpoints.size());
    for (const backing::ListedEndpoint& endpoint : list.endpoints)
        internal::writeEndpoint(writer, endpoint);
    writer.number(list.gone.size());
    for (const EndpointName& name : list.gone)
        writer.text(name.value);
    return compress(writer.take());
}

std::optional<RosterList> decodeRoster(std::string_view bytes, Failure& failure)
{
    const std::optional<std::string> text = decompress(bytes, largestRoster, failure);
    if (!text)
        return std::nullopt;
    std::optional<RosterList> list = readRoster(*text);
    if (!list)
        failure = { .kind = ErrorKind::corruptRecord, .reason = "the list of endpoints that another instance told can't be read" };
    return list;
}

}
