// How calls and their answers are laid out.
#pragma once

#include "internal/WireHeartbeat.h"
#include "whinyard/peer/Codec.h"

#include <utility>
#include <variant>

namespace whinyard::peer::internal {

inline constexpr std::size_t largestText = 64 * 1024; // Of a path, key, field or reason.
inline constexpr std::size_t largestListCount = 100'000;
inline constexpr std::size_t leastEventBytes = 60;
inline constexpr std::size_t leastFieldBytes = 8;
inline constexpr std::size_t leastLineBytes = 12;
inline constexpr std::size_t leastDigestBytes = 18;

template <typename Archive>
void serialize(Archive& archive, RequestId& id) { archive(id.origin, id.sequence); }

template <typename Archive>
void serialize(Archive& archive, Event& event)
{
    archive(event.at, event.instance, event.incarnation, event.request, event.attempt);
    archive(choice(event.kind, static_cast<EventKind>(eventKindCount - 1)));
    archive(longText(event.endpoint.value, largestText), longText(event.version.value, largestText));
    archive(event.amount, longText(event.reason, largestText));
}

template <typename Archive>
void serialize(Archive& archive, FetchConfiguration& request) { archive(request.known); }

template <typename Archive>
void serialize(Archive& archive, FetchConfigurationAnswer& answer)
{
    archive(answer.incarnation, answer.revision, longText(answer.record, largestFrame), Age { answer.proofAge });
}

template <typename Archive>
void serialize(Archive& archive, MirroredLine& line) { archive(line.sequence, longText(line.line, largestFrame)); }

template <typename Archive>
void serialize(Archive& archive, MirrorUsage& request)
{
    archive(list(request.lines, largestListCount, leastLineBytes));
}

template <typename Archive>
void serialize(Archive& archive, MirrorUsageAnswer& answer) { archive(Flag { answer.taken }); }

template <typename Archive>
void serialize(Archive& archive, ReleaseMirror& request)
{
    archive(request.throughSequence, list(request.sequences, largestListCount, sizeof(std::uint64_t)));
}

template <typename Archive>
void serialize(Archive& archive, ReleaseMirrorAnswer& answer) { archive(answer.released); }

template <typename Archive>
void serialize(Archive& archive, ForwardedField& field) { archive(longText(field.name, largestText), longText(field.value, largestText)); }

template <typename Archive>
void serialize(Archive& archive, ForwardCall& call)
{
    archive(call.request, longText(call.customer.value, largestText), longText(call.service.value, largestText));
    archive(longText(call.method, largestText), longText(call.path, largestText));
    archive(list(call.fields, largestListCount, leastFieldBytes), longText(call.body, largestFrame));
    archive(longText(call.idempotencyKey, largestText), call.timeLeft, call.configurationRevision);
}

template <typename Archive>
void serialize(Archive& archive, ForwardCallAnswer& answer)
{
    std::int32_t status = answer.status;
    archive(status, list(answer.fields, largestListCount, leastFieldBytes), longText(answer.body, largestFrame));
    answer.status = status;
}

template <typename Archive>
void serialize(Archive& archive, TraceQuery& query)
{
    archive(query.request, longText(query.keyDigest, largestText), longText(query.session.value, largestText), query.limit);
}

template <typename Archive>
void serialize(Archive& archive, TraceQueryAnswer& answer)
{
    archive(list(answer.events, largestListCount, leastEventBytes), answer.dropped, Flag { answer.truncated });
}

template <typename Archive>
void serialize(Archive& archive, GossipDigest& digest)
{
    archive(digest.origin, digest.incarnation, shortText(digest.topic, largestName), digest.version);
}

template <typename Archive>
void serialize(Archive& archive, GossipSync& request) { archive(list(request.held, largestListCount, leastDigestBytes)); }

template <typename Archive>
void serialize(Archive& archive, GossipSyncAnswer& answer)
{
    archive(list(answer.entries, largestListCount, leastEntryBytes), Flag { answer.more });
}

template <typename Archive>
void serialize(Archive& archive, timeline::EventBatch& batch)
{
    archive(batch.instance, batch.incarnation, batch.sequence, batch.count, batch.lostBefore);
    archive(list(batch.requests, largestListCount, sizeof(RequestId)), longText(batch.data, largestFrame));
}

template <typename Archive>
void serialize(Archive& archive, MirrorEvents& request) { archive(request.batch); }

template <typename Archive>
void serialize(Archive& archive, MirrorEventsAnswer& answer) { archive(Flag { answer.taken }); }

template <typename Archive>
void serialize(Archive& archive, FlushUsage& request) { archive(request.bound); }

template <typename Archive>
void serialize(Archive& archive, FlushUsageAnswer& answer) { archive(Flag { answer.durable }); }

template <typename Archive>
void serialize(Archive&, MemberSync&) { }

template <typename Archive>
void serialize(Archive& archive, MemberSyncAnswer& answer) { archive(list(answer.members, largestListCount, leastUpdateBytes)); }

template <typename Archive>
void serialize(Archive& archive, Refused& refused)
{
    archive(choice(refused.kind, ErrorKind::internalError), longText(refused.reason, largestText));
    archive(refused.retryAfter, choice(refused.runState, RunState::ran));
}

// Makes `variant` hold its alternative number `index`.
template <typename Variant, std::size_t... indices>
void emplaceAt(Variant& variant, std::size_t index, std::index_sequence<indices...>)
{
    ((index == indices ? void(variant.template emplace<indices>()) : void()), ...);
}

template <typename Archive, typename... Types>
void serialize(Archive& archive, std::variant<Types...>& variant)
{
    std::uint8_t index = static_cast<std::uint8_t>(variant.index());
    archive(index);
    if (index >= sizeof...(Types))
        throw MalformedMessage {};
    if constexpr (Archive::isReader)
        emplaceAt(variant, index, std::index_sequence_for<Types...> {});
    std::visit([&](auto& value) { archive(value); }, variant);
}

}
