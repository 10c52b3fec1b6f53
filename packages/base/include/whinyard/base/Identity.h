// Names and identities that several packages share, each a type of its own so that one can't be
// passed for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard {

// A name with a meaning given by `Tag`.
template <typename Tag>
struct Name {
    std::string value;

    bool empty() const { return value.empty(); }
    auto operator<=>(const Name&) const = default;
};

using InstanceName = Name<struct InstanceTag>; // A whinyardd process's place, kept over restarts.
using ZoneName = Name<struct ZoneTag>; // An availability zone.
using RegionName = Name<struct RegionTag>; // Of one or several availability zones.
using EndpointName = Name<struct EndpointTag>; // A model engine or a plain service's process.
using CustomerName = Name<struct CustomerTag>;
using ModelName = Name<struct ModelTag>;
using VersionName = Name<struct VersionTag>; // A version of a model, unique over all models.
using CascadeName = Name<struct CascadeTag>;
using ServiceName = Name<struct ServiceTag>; // A plain service.
using SessionName = Name<struct SessionTag>; // A session as its caller or the router names it.

// One life of an instance: the wall clock's microseconds at its start. A later life of the same
// instance has a higher number.
struct Incarnation {
    std::uint64_t number = 0;

    auto operator<=>(const Incarnation&) const = default;
};

// Identifies one request of one caller over all processes.
struct RequestId {
    std::uint64_t origin = 0; // Digest of the instance and incarnation that received it.
    std::uint64_t sequence = 0; // Counts the requests of that incarnation.

    bool empty() const { return origin == 0 && sequence == 0; }
    auto operator<=>(const RequestId&) const = default;
};

// Returns the origin under which an incarnation of an instance numbers its requests.
std::uint64_t requestOrigin(const InstanceName& instance, Incarnation incarnation);

// Writes `id` as 32 hexadecimal digits.
std::string toText(const RequestId& id);

// Reads what toText() wrote; returns nothing for any other text.
std::optional<RequestId> parseRequestId(std::string_view text);

// Hashes bytes to 64 bits, the same on every machine and in every build.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

}

template <typename Tag>
struct std::hash<whinyard::Name<Tag>> {
    std::size_t operator()(const whinyard::Name<Tag>& name) const noexcept { return std::hash<std::string>()(name.value); }
};

template <>
struct std::hash<whinyard::RequestId> {
    std::size_t operator()(const whinyard::RequestId& id) const noexcept { return id.origin * 0x9E3779B97F4A7C15ULL ^ id.sequence; }
};
