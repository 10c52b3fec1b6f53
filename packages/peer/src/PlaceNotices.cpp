#include "internal/PlaceNotices.h"

#include <algorithm>

namespace whinyard::peer::internal {

namespace {

    using std::chrono::milliseconds;

    // No request has more time than this, and no slot is occupied for longer; guards against a foreign number.
    constexpr std::int64_t longestMs = 3'600'000;
    constexpr std::int64_t longestUs = longestMs * 1'000;

    constexpr std::uint64_t lastPriority = 255;

    std::uint64_t bounded(std::int64_t value, std::int64_t most)
    {
        return static_cast<std::uint64_t>(std::clamp<std::int64_t>(value, 0, most));
    }

    milliseconds readMilliseconds(FieldReader& reader)
    {
        return milliseconds(static_cast<std::int64_t>(reader.number(longestMs)));
    }

    void write(FieldWriter& writer, const policy::PermitId& id)
    {
        writer.text(id.requester.value);
        writer.number(id.number);
    }

    policy::PermitId readId(FieldReader& reader)
    {
        policy::PermitId id;
        id.requester.value = reader.text();
        id.number = reader.number();
        return id;
    }

    void begin(FieldWriter& writer, NoticeKind kind, const ServiceName& service, const std::string& version)
    {
        writer.number(static_cast<std::uint64_t>(kind));
        writer.text(service.value);
        writer.text(version);
    }

}

void write(FieldWriter& writer, const PlaceRequestNotice& notice)
{
    const policy::PermitRequest& request = notice.request;
    begin(writer, NoticeKind::placeRequest, notice.service, notice.version);
    write(writer, request.id);
    writer.text(request.zone.value);
    writer.text(request.customer.value);
    writer.number(request.priority);
    // A negative time and zero say the same: the objective or the deadline has passed.
    writer.number(bounded(request.objectiveLeft.count(), longestMs));
    writer.number(bounded(request.deadlineLeft.count(), longestMs));
    writer.number(request.excluded.size());
    for (const EndpointName& endpoint : request.excluded)
        writer.text(endpoint.value);
}

void write(FieldWriter& writer, const PlaceAnswerNotice& notice)
{
    begin(writer, NoticeKind::placeAnswer, notice.service, notice.version);
    writer.text(notice.coordinator.value);
    write(writer, notice.decision.id);
    writer.number(static_cast<std::uint64_t>(notice.decision.verdict));
    writer.text(notice.decision.endpoint.value);
    writer.number(bounded(notice.decision.wait.count(), longestMs));
}

void write(FieldWriter& writer, const PlaceReturnNotice& notice)
{
    begin(writer, NoticeKind::placeReturn, notice.service, notice.version);
    write(writer, notice.id);
    writer.number(notice.outcome ? 1 : 0);
    writer.number(static_cast<std::uint64_t>(notice.outcome.value_or(policy::EndpointOutcome::succeeded)));
    writer.number(bounded(notice.serviceTime.count(), longestUs));
}

void write(FieldWriter& writer, const PlacesHeldNotice& notice)
{
    begin(writer, NoticeKind::placesHeld, notice.service, notice.version);
    writer.text(notice.requester.value);
    writer.number(notice.permits.size());
    for (const NoticedPermit& permit : notice.permits) {
        writer.number(permit.number);
        writer.text(permit.endpoint.value);
    }
}

PlaceRequestNotice readPlaceRequest(FieldReader& reader)
{
    PlaceRequestNotice notice;
    notice.service.value = reader.text();
    notice.version = reader.text();
    notice.request.id = readId(reader);
    notice.request.zone.value = reader.text();
    notice.request.customer.value = reader.text();
    notice.request.priority = static_cast<std::uint8_t>(reader.number(lastPriority));
    notice.request.objectiveLeft = readMilliseconds(reader);
    notice.request.deadlineLeft = readMilliseconds(reader);
    const std::uint64_t excluded = reader.number(mostExcludedPlaces);
    for (std::uint64_t i = 0; i < excluded; ++i)
        notice.request.excluded.push_back({ reader.text() });
    return notice;
}

PlaceAnswerNotice readPlaceAnswer(FieldReader& reader)
{
    PlaceAnswerNotice notice;
    notice.service.value = reader.text();
    notice.version = reader.text();
    notice.coordinator.value = reader.text();
    notice.decision.id = readId(reader);
    notice.decision.verdict = static_cast<policy::PermitVerdict>(reader.number(static_cast<std::uint64_t>(policy::PermitVerdict::noEndpoint)));
    notice.decision.endpoint.value = reader.text();
    notice.decision.wait = readMilliseconds(reader);
    return notice;
}

PlaceReturnNotice readPlaceReturn(FieldReader& reader)
{
    PlaceReturnNotice notice;
    notice.service.value = reader.text();
    notice.version = reader.text();
    notice.id = readId(reader);
    const bool hasOutcome = reader.number(1) == 1;
    const auto outcome = static_cast<policy::EndpointOutcome>(reader.number(static_cast<std::uint64_t>(policy::EndpointOutcome::leaving)));
    if (hasOutcome)
        notice.outcome = outcome;
    notice.serviceTime = std::chrono::microseconds(static_cast<std::int64_t>(reader.number(longestUs)));
    return notice;
}

PlacesHeldNotice readPlacesHeld(FieldReader& reader)
{
    PlacesHeldNotice notice;
    notice.service.value = reader.text();
    notice.version = reader.text();
    notice.requester.value = reader.text();
    const std::uint64_t permits = reader.number(mostHeldPlaces);
    for (std::uint64_t i = 0; i < permits; ++i) {
        const std::uint64_t number = reader.number();
        notice.permits.push_back({ number, { reader.text() } });
    }
    return notice;
}

}
