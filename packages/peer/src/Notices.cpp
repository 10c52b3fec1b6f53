#include "whinyard/peer/Notices.h"

#include "internal/Fields.h"

#include <charconv>
#include <limits>

namespace whinyard::peer {

namespace {

    using internal::readEndpoint;
    using internal::Reader;
    using internal::writeEndpoint;
    using internal::Writer;

    constexpr std::uint16_t noticeFormat = 9;
    constexpr std::int64_t longestWorkUs = 60'000'000; // A longer one is no work that anybody gave.

    enum class NoticeKind : std::uint8_t {
        work = 1,
        pins = 2,
        evidence = 3,
        roster = 4,
        shift = 5,
        instance = 6,
        records = 7,
    };

    void write(Writer& writer, const WorkNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::work));
        writer.text(notice.endpoint.value);
        writer.number(static_cast<std::uint64_t>(notice.work.count()));
        writer.number(notice.prefixes.size());
        for (const std::uint64_t prefix : notice.prefixes)
            writer.number(prefix);
    }

    void write(Writer& writer, const PinNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::pins));
        writer.text(notice.service.value);
        writer.number(notice.sessions.size());
        for (const std::uint64_t session : notice.sessions)
            writer.number(session);
    }

    void write(Writer& writer, const EvidenceNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::evidence));
        writer.text(notice.service.value);
        writer.text(notice.instance.value);
        writer.text(notice.evidence);
    }

    void write(Writer& writer, const ShiftNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::shift));
        writer.text(notice.service.value);
        writer.text(notice.record);
        writer.number(notice.revision);
    }

    void write(Writer& writer, const InstanceNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::instance));
        writer.text(notice.instance.value);
        writer.text(net::toText(notice.address));
        writer.number(notice.linkMegabits);
    }

    void write(Writer& writer, const RosterNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::roster));
        writer.text(notice.instance.value);
        writer.number(notice.life);
        writer.number(notice.sequence);
        writer.number(notice.changed.size());
        for (const backing::ListedEndpoint& endpoint : notice.changed)
            writeEndpoint(writer, endpoint);
        writer.number(notice.gone.size());
        for (const EndpointName& name : notice.gone)
            writer.text(name.value);
        writer.number(notice.operators);
        writer.number(notice.isCurrent ? 1 : 0);
    }

    void write(Writer& writer, const RecordsNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::records));
        writer.text(notice.instance.value);
        writer.number(notice.operators);
    }

    std::optional<Notice> readWork(Reader& reader)
    {
        WorkNotice notice;
        notice.endpoint.value = reader.text();
        notice.work = std::chrono::microseconds(static_cast<std::int64_t>(reader.number(longestWorkUs)));
        const std::uint64_t count = reader.number(mostPrefixes);
        for (std::uint64_t i = 0; i < count; ++i)
            notice.prefixes.push_back(reader.number());
        return notice;
    }

    std::optional<Notice> readPins(Reader& reader)
    {
        PinNotice notice;
        notice.service.value = reader.text();
        const std::uint64_t count = reader.number(mostPins);
        for (std::uint64_t i = 0; i < count; ++i)
            notice.sessions.push_back(reader.number());
        return notice;
    }

    std::optional<Notice> readEvidence(Reader& reader)
    {
        EvidenceNotice notice;
        notice.service.value = reader.text();
        notice.instance.value = reader.text();
        notice.evidence = reader.text();
        return notice;
    }

    std::optional<Notice> readShift(Reader& reader)
    {
        ShiftNotice notice;
        notice.service.value = reader.text();
        notice.record = reader.text();
        notice.revision = reader.number();
        return notice;
    }

    std::optional<Notice> readInstance(Reader& reader)
    {
        InstanceNotice notice;
        notice.instance.value = reader.text();
        Failure failure;
        const std::optional<net::Address> address = net::parseAddress(reader.text(), failure);
        if (!address)
            return std::nullopt;
        notice.address = *address;
        notice.linkMegabits = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
        return notice;
    }

    std::optional<Notice> readRecords(Reader& reader)
    {
        RecordsNotice notice;
        notice.instance.value = reader.text();
        notice.operators = reader.number();
        return notice;
    }

    std::optional<Notice> readRoster(Reader& reader)
    {
        RosterNotice notice;
        notice.instance.value = reader.text();
        notice.life = reader.number();
        notice.sequence = reader.number();
        const std::uint64_t changed = reader.number(mostRosterChanges);
        for (std::uint64_t i = 0; i < changed; ++i) {
            std::optional<backing::ListedEndpoint> endpoint = readEndpoint(reader);
            if (!endpoint)
                return std::nullopt;
            notice.changed.push_back(std::move(*endpoint));
        }
        const std::uint64_t gone = reader.number(mostRosterChanges);
        for (std::uint64_t i = 0; i < gone; ++i)
            notice.gone.push_back({ reader.text() });
        notice.operators = reader.number();
        notice.isCurrent = reader.number(1) == 1;
        return notice;
    }

}

std::string writeInstanceRecord(const InstanceNotice& notice)
{
    return net::toText(notice.address) + " " + std::to_string(notice.linkMegabits);
}

std::optional<InstanceNotice> readInstanceRecord(const InstanceName& instance, const std::string& record, Failure& failure)
{
    const std::size_t space = record.find(' ');
    const std::optional<net::Address> address = net::parseAddress(record.substr(0, space), failure);
    if (!address)
        return std::nullopt;
    InstanceNotice notice { instance, *address, 0 };
    if (space != std::string::npos)
        std::from_chars(record.data() + space + 1, record.data() + record.size(), notice.linkMegabits);
    return notice;
}

std::string encodeNotice(const Notice& notice)
{
    Writer writer;
    writer.number(noticeFormat);
    std::visit([&](const auto& one) { write(writer, one); }, notice);
    return writer.take();
}

std::optional<Notice> decodeNotice(std::string_view bytes)
{
    Reader reader(bytes);
    if (reader.number() != noticeFormat)
        return std::nullopt;
    std::optional<Notice> notice;
    switch (static_cast<NoticeKind>(reader.number(static_cast<std::uint64_t>(NoticeKind::records)))) {
    case NoticeKind::work:
        notice = readWork(reader);
        break;
    case NoticeKind::pins:
        notice = readPins(reader);
        break;
    case NoticeKind::evidence:
        notice = readEvidence(reader);
        break;
    case NoticeKind::roster:
        notice = readRoster(reader);
        break;
    case NoticeKind::shift:
        notice = readShift(reader);
        break;
    case NoticeKind::instance:
        notice = readInstance(reader);
        break;
    case NoticeKind::records:
        notice = readRecords(reader);
        break;
    }
    return reader.isWhole() ? notice : std::nullopt;
}

}
