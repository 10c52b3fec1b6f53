#include "whinyard/peer/Notices.h"

#include "internal/Fields.h"
#include "internal/PaceFields.h"
#include "internal/PlaceNotices.h"
#include "whinyard/base/Compression.h"
#include "whinyard/net/UdpSocket.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <limits>

namespace whinyard::peer {

namespace {

    using internal::FieldReader;
    using internal::FieldWriter;
    using internal::NoticeKind;
    using internal::readEndpoint;
    using internal::readPaces;
    using internal::writeEndpoint;
    using internal::writePaces;

    constexpr std::uint16_t noticeFormat = 16;
    constexpr std::size_t largestChanges = 256 * 1'024; // Guards memory against a foreign length.
    constexpr std::int64_t longestWorkUs = 60'000'000; // A longer one is no work that anybody gave.
    constexpr std::int64_t longestVerdictMs = 3'600'000; // Longer than any verdict holds.
    constexpr std::uint64_t longestRateAgeMs = 86'400'000; // An older statement is of no use.
    constexpr double rateUnits = 1e6; // Rates are written as whole requests in a million seconds.
    constexpr std::uint64_t largestRate = 1'000'000'000'000; // In these units; more is no limit.

    void write(FieldWriter& writer, const WorkNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::work));
        writer.text(notice.endpoint.value);
        writer.number(static_cast<std::uint64_t>(notice.work.count()));
        writer.number(notice.prefixes.size());
        for (const std::uint64_t prefix : notice.prefixes)
            writer.number(prefix);
        writer.number(std::min(notice.tokens, mostHeldTokens));
        writer.number(static_cast<std::uint64_t>(std::clamp<std::int64_t>(notice.duration.count(), 0, longestHeld.count())));
        writer.number(notice.identity);
    }

    void write(FieldWriter& writer, const PinNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::pins));
        writer.text(notice.service.value);
        writer.number(notice.sessions.size());
        for (const std::uint64_t session : notice.sessions)
            writer.number(session);
    }

    void write(FieldWriter& writer, const EvidenceNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::evidence));
        writer.text(notice.service.value);
        writer.text(notice.instance.value);
        writer.text(notice.evidence);
    }

    void write(FieldWriter& writer, const ShiftNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::shift));
        writer.text(notice.service.value);
        writer.text(notice.record);
        writer.revision(notice.revision);
    }

    void write(FieldWriter& writer, const InstanceNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::instance));
        writer.text(notice.instance.value);
        writer.text(net::toText(notice.address));
        writer.number(notice.linkMegabits);
    }

    // Compressed: the endpoints of a service differ in little.
    std::string writeChanges(const RosterNotice& notice)
    {
        if (notice.changed.empty() && notice.gone.empty())
            return {};
        FieldWriter writer;
        writer.number(notice.changed.size());
        for (const backing::ListedEndpoint& endpoint : notice.changed)
            writeEndpoint(writer, endpoint);
        writer.number(notice.gone.size());
        for (const EndpointName& name : notice.gone)
            writer.text(name.value);
        return compress(writer.take());
    }

    void write(FieldWriter& writer, const RosterNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::roster));
        writer.text(notice.instance.value);
        writer.number(notice.life);
        writer.number(notice.number);
        writer.bytes(writeChanges(notice));
        writer.number(notice.isCurrent ? 1 : 0);
        writer.revision(notice.since);
        writer.revision(notice.upTo);
        writer.text(notice.teller.value);
        writer.revision(notice.listedUpTo);
        writer.revision(notice.operators);
    }

    void write(FieldWriter& writer, const RecordsNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::records));
        writer.text(notice.instance.value);
        writer.revision(notice.operators);
    }

    void write(FieldWriter& writer, const RequestDigest& digest)
    {
        std::array<std::uint64_t, 2> halves {};
        static_assert(sizeof halves == sizeof digest.bytes);
        std::memcpy(halves.data(), digest.bytes.data(), sizeof halves);
        writer.number(halves[0]);
        writer.number(halves[1]);
    }

    std::uint64_t milliseconds(std::chrono::milliseconds age) { return static_cast<std::uint64_t>(std::clamp<std::int64_t>(age.count(), 0, longestVerdictMs)); }

    void write(FieldWriter& writer, const QueryNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::queries));
        writer.number(notice.news.losses.size());
        for (const RequestLoss& loss : notice.news.losses) {
            write(writer, loss.request);
            writer.number(loss.life.digest);
            writer.number(static_cast<std::uint64_t>(loss.stage));
            writer.number(loss.parts.size());
            for (const PartDigest part : loss.parts)
                writer.number(part.value);
            writer.number(milliseconds(loss.sentAgo));
        }
        writer.number(notice.news.completed.size());
        for (const RequestDigest& request : notice.news.completed)
            write(writer, request);
        writer.number(notice.news.verdicts.size());
        for (const QueryVerdict& verdict : notice.news.verdicts) {
            write(writer, verdict.request);
            writer.text(verdict.service.value);
            writer.number(verdict.lives.size());
            for (const EndpointLife life : verdict.lives)
                writer.number(life.digest);
            writer.number(static_cast<std::uint64_t>(verdict.left.count()));
            writer.number(milliseconds(verdict.sinceAgo));
        }
        writer.number(notice.news.soundParts.size());
        for (const SoundPart& sound : notice.news.soundParts) {
            writer.number(sound.part.value);
            writer.number(milliseconds(sound.begunAgo));
        }
    }

    std::uint64_t rateAge(std::chrono::milliseconds age) { return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)), longestRateAgeMs); }

    void write(FieldWriter& writer, const RateNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::rates));
        writer.number(notice.rates.size());
        for (const RateNews& news : notice.rates) {
            writer.text(news.endpoint.value);
            writer.number(static_cast<std::uint64_t>(std::min(std::round(news.requestsPerSecond * rateUnits), static_cast<double>(largestRate))));
            writer.number(rateAge(news.statedAgo));
            writer.number(news.clearedAgo ? 1 : 0);
            writer.number(rateAge(news.clearedAgo.value_or(std::chrono::milliseconds(0))));
        }
    }

    void write(FieldWriter& writer, const UsageNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::usage));
        writer.text(notice.instance.value);
        writer.number(notice.life);
        writer.number(notice.window.number);
        writer.number(notice.window.counts.size());
        for (const auto& [customer, count] : notice.window.counts) {
            writer.text(customer.value);
            writer.number(count);
        }
    }

    void write(FieldWriter& writer, const DemandNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::demand));
        writer.text(notice.instance.value);
        writer.number(notice.life);
        writer.number(notice.loads.size());
        for (const policy::ServiceLoad& load : notice.loads) {
            writer.text(load.service.value);
            writer.number(load.requests);
            writer.number(load.unserved);
            writer.number(static_cast<std::uint64_t>(load.work.count()));
            writer.number(load.running);
        }
    }

    void write(FieldWriter& writer, const PaceNotice& notice)
    {
        writer.number(static_cast<std::uint64_t>(NoticeKind::paces));
        writePaces(writer, notice);
    }

    std::optional<Notice> readWork(FieldReader& reader)
    {
        WorkNotice notice;
        notice.endpoint.value = reader.text();
        notice.work = std::chrono::microseconds(static_cast<std::int64_t>(reader.number(longestWorkUs)));
        const std::uint64_t count = reader.number(mostPrefixes);
        for (std::uint64_t i = 0; i < count; ++i)
            notice.prefixes.push_back(reader.number());
        notice.tokens = static_cast<std::uint32_t>(reader.number(mostHeldTokens));
        notice.duration = std::chrono::milliseconds(static_cast<std::int64_t>(reader.number(static_cast<std::uint64_t>(longestHeld.count()))));
        notice.identity = reader.number();
        return notice;
    }

    std::optional<Notice> readPins(FieldReader& reader)
    {
        PinNotice notice;
        notice.service.value = reader.text();
        const std::uint64_t count = reader.number(mostPins);
        for (std::uint64_t i = 0; i < count; ++i)
            notice.sessions.push_back(reader.number());
        return notice;
    }

    std::optional<Notice> readEvidence(FieldReader& reader)
    {
        EvidenceNotice notice;
        notice.service.value = reader.text();
        notice.instance.value = reader.text();
        notice.evidence = reader.text();
        return notice;
    }

    std::optional<Notice> readShift(FieldReader& reader)
    {
        ShiftNotice notice;
        notice.service.value = reader.text();
        notice.record = reader.text();
        notice.revision = reader.revision();
        return notice;
    }

    std::optional<Notice> readInstance(FieldReader& reader)
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

    std::optional<Notice> readRecords(FieldReader& reader)
    {
        RecordsNotice notice;
        notice.instance.value = reader.text();
        notice.operators = reader.revision();
        return notice;
    }

    RequestDigest readDigest(FieldReader& reader)
    {
        const std::array<std::uint64_t, 2> halves { reader.number(), reader.number() };
        RequestDigest digest;
        std::memcpy(digest.bytes.data(), halves.data(), sizeof halves);
        return digest;
    }

    std::chrono::milliseconds readMilliseconds(FieldReader& reader) { return std::chrono::milliseconds(static_cast<std::int64_t>(reader.number(longestVerdictMs))); }

    QueryVerdict readVerdict(FieldReader& reader)
    {
        QueryVerdict verdict;
        verdict.request = readDigest(reader);
        verdict.service.value = reader.text();
        const std::uint64_t lives = reader.number(mostLives);
        for (std::uint64_t i = 0; i < lives; ++i)
            verdict.lives.push_back({ reader.number() });
        verdict.left = readMilliseconds(reader);
        verdict.sinceAgo = readMilliseconds(reader);
        return verdict;
    }

    std::optional<Notice> readQueries(FieldReader& reader)
    {
        QueryNotice notice;
        const std::uint64_t losses = reader.number(mostLosses);
        for (std::uint64_t i = 0; i < losses; ++i) {
            const RequestDigest request = readDigest(reader);
            const EndpointLife life { reader.number() };
            RequestLoss loss { request, life, static_cast<LossStage>(reader.number(static_cast<std::uint64_t>(LossStage::begun))) };
            const std::uint64_t parts = reader.number(mostParts);
            for (std::uint64_t part = 0; part < parts; ++part)
                loss.parts.push_back({ reader.number() });
            loss.sentAgo = readMilliseconds(reader);
            notice.news.losses.push_back(std::move(loss));
        }
        const std::uint64_t completed = reader.number(mostCompleted);
        for (std::uint64_t i = 0; i < completed; ++i)
            notice.news.completed.push_back(readDigest(reader));
        const std::uint64_t verdicts = reader.number(mostVerdicts);
        for (std::uint64_t i = 0; i < verdicts; ++i)
            notice.news.verdicts.push_back(readVerdict(reader));
        const std::uint64_t sound = reader.number(mostSoundParts);
        for (std::uint64_t i = 0; i < sound; ++i) {
            const PartDigest part { reader.number() };
            notice.news.soundParts.push_back({ part, readMilliseconds(reader) });
        }
        return notice;
    }

    std::optional<Notice> readRates(FieldReader& reader)
    {
        const auto readAge = [&] { return std::chrono::milliseconds(static_cast<std::int64_t>(reader.number(longestRateAgeMs))); };
        RateNotice notice;
        const std::uint64_t count = reader.number(mostRates);
        for (std::uint64_t i = 0; i < count; ++i) {
            RateNews news;
            news.endpoint.value = reader.text();
            news.requestsPerSecond = static_cast<double>(reader.number(largestRate)) / rateUnits;
            news.statedAgo = readAge();
            const bool wasCleared = reader.number(1) == 1;
            const std::chrono::milliseconds clearedAgo = readAge();
            if (wasCleared)
                news.clearedAgo = clearedAgo;
            notice.rates.push_back(std::move(news));
        }
        return notice;
    }

    std::optional<Notice> readUsage(FieldReader& reader)
    {
        UsageNotice notice;
        notice.instance.value = reader.text();
        notice.life = reader.number();
        notice.window.number = reader.number();
        const std::uint64_t customers = reader.number(mostCustomers);
        for (std::uint64_t i = 0; i < customers; ++i) {
            const CustomerName customer { reader.text() };
            notice.window.counts[customer] = reader.number();
        }
        return notice;
    }

    std::optional<Notice> readDemand(FieldReader& reader)
    {
        DemandNotice notice;
        notice.instance.value = reader.text();
        notice.life = reader.number();
        const std::uint64_t loads = reader.number(mostLoads);
        for (std::uint64_t i = 0; i < loads; ++i) {
            policy::ServiceLoad load;
            load.service.value = reader.text();
            load.requests = reader.number();
            load.unserved = reader.number();
            load.work = std::chrono::microseconds(static_cast<std::int64_t>(reader.number(std::numeric_limits<std::int64_t>::max())));
            load.running = static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
            notice.loads.push_back(std::move(load));
        }
        return notice;
    }

    // Returns false for bytes that writeChanges() would not write.
    bool readChanges(const std::string& bytes, RosterNotice& notice)
    {
        if (bytes.empty())
            return true;
        Failure failure;
        const std::optional<std::string> text = decompress(bytes, largestChanges, failure);
        if (!text)
            return false;
        FieldReader reader(*text);
        const std::uint64_t changed = reader.number(mostRosterChanges);
        for (std::uint64_t i = 0; i < changed; ++i) {
            std::optional<backing::ListedEndpoint> endpoint = readEndpoint(reader);
            if (!endpoint)
                return false;
            notice.changed.push_back(std::move(*endpoint));
        }
        const std::uint64_t gone = reader.number(mostRosterChanges);
        for (std::uint64_t i = 0; i < gone; ++i)
            notice.gone.push_back({ reader.text() });
        return reader.isWhole();
    }

    std::optional<Notice> readRoster(FieldReader& reader)
    {
        RosterNotice notice;
        notice.instance.value = reader.text();
        notice.life = reader.number();
        notice.number = reader.number();
        if (!readChanges(reader.bytes(net::maximumDatagramBytes), notice))
            return std::nullopt;
        notice.isCurrent = reader.number(1) == 1;
        notice.since = reader.revision();
        notice.upTo = reader.revision();
        notice.teller.value = reader.text();
        notice.listedUpTo = reader.revision();
        notice.operators = reader.revision();
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
    FieldWriter writer;
    writer.number(noticeFormat);
    std::visit([&](const auto& one) { write(writer, one); }, notice);
    return writer.take();
}

std::optional<Notice> decodeNotice(std::string_view bytes)
{
    FieldReader reader(bytes);
    if (reader.number() != noticeFormat)
        return std::nullopt;
    std::optional<Notice> notice;
    switch (static_cast<NoticeKind>(reader.number(static_cast<std::uint64_t>(NoticeKind::paces)))) {
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
    case NoticeKind::queries:
        notice = readQueries(reader);
        break;
    case NoticeKind::rates:
        notice = readRates(reader);
        break;
    case NoticeKind::usage:
        notice = readUsage(reader);
        break;
    case NoticeKind::demand:
        notice = readDemand(reader);
        break;
    case NoticeKind::placeRequest:
        notice = internal::readPlaceRequest(reader);
        break;
    case NoticeKind::placeAnswer:
        notice = internal::readPlaceAnswer(reader);
        break;
    case NoticeKind::placeReturn:
        notice = internal::readPlaceReturn(reader);
        break;
    case NoticeKind::placesHeld:
        notice = internal::readPlacesHeld(reader);
        break;
    case NoticeKind::paces:
        notice = readPaces(reader);
        break;
    }
    return reader.isWhole() ? notice : std::nullopt;
}

}
