// How the parts of a datagram are laid out. One function a type reads and writes, so that the two can't differ.
#pragma once

#include "internal/Archive.h"
#include "whinyard/peer/Heartbeat.h"

#include <chrono>
#include <limits>
#include <optional>

namespace whinyard::peer::internal {

// The least bytes that elements of lists take.
inline constexpr std::size_t leastUpdateBytes = 27;
inline constexpr std::size_t leastEntryBytes = 22;
inline constexpr std::size_t leastVoteBytes = 5;

template <typename Archive, typename Tag>
void serialize(Archive& archive, Name<Tag>& name) { archive(shortText(name.value, largestName)); }

template <typename Archive>
void serialize(Archive& archive, Incarnation& incarnation) { archive(incarnation.number); }

template <typename Archive>
void serialize(Archive& archive, net::Address& address) { archive(shortText(address.host, largestHost), address.port); }

template <typename Archive, typename Period>
void serialize(Archive& archive, std::chrono::duration<std::int64_t, Period>& duration)
{
    std::int64_t count = duration.count();
    archive(count);
    duration = std::chrono::duration<std::int64_t, Period>(count);
}

// An age that may be missing. It takes four bytes; longer ages become the longest.
struct Age {
    std::optional<std::chrono::milliseconds>& value;
};

template <typename Archive>
void serialize(Archive& archive, Age& age)
{
    constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t number = none;
    if (age.value)
        number = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.value->count(), 0, none - 1));
    archive(number);
    if constexpr (Archive::isReader) {
        age.value.reset();
        if (number != none)
            age.value = std::chrono::milliseconds(number);
    }
}

template <typename Archive>
void serialize(Archive& archive, HybridTime& time) { archive(time.physical, time.logical); }

template <typename Archive>
void serialize(Archive& archive, MemberUpdate& update)
{
    archive(update.name, update.incarnation, update.refutation, choice(update.liveness, Liveness::dead), Flag { update.leaving });
    archive(update.zone, update.address, update.configurationRevision);
}

template <typename Archive>
void serialize(Archive& archive, GossipEntry& entry)
{
    archive(entry.origin, entry.incarnation, shortText(entry.topic, largestName), entry.version, longText(entry.value, largestGossipValue));
}

template <typename Archive>
void serialize(Archive& archive, Vote& vote) { archive(vote.instance, vote.age); }

template <typename Archive>
void serialize(Archive& archive, ConfigurationReport& report)
{
    archive(report.held, report.known, Age { report.proofAge }, Age { report.reachedAge });
    archive(Flag { report.storeFailed }, Flag { report.votes }, list(report.others, largestVoteCount, leastVoteBytes));
}

template <typename Archive>
void serialize(Archive& archive, Heartbeat& heartbeat)
{
    archive(choice(heartbeat.kind, HeartbeatKind::probeAnswer), heartbeat.nonce, heartbeat.subject, heartbeat.subjectAddress);
    archive(heartbeat.sentAt, heartbeat.hybridTime, heartbeat.self, heartbeat.configuration);
    archive(list(heartbeat.updates, largestUpdateCount, leastUpdateBytes));
    archive(list(heartbeat.entries, largestEntryCount, leastEntryBytes));
}

}
