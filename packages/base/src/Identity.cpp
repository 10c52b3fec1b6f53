#include "whinyard/base/Identity.h"

#include <charconv>
#include <cstdio>

namespace whinyard {

namespace {

    constexpr std::size_t halfDigits = 16;

    std::optional<std::uint64_t> parseHalf(std::string_view digits)
    {
        std::uint64_t value = 0;
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (result.ec != std::errc() || result.ptr != digits.data() + digits.size())
            return std::nullopt;
        return value;
    }

    // The finalizer of MurmurHash3 (Appleby, public domain): spreads every input bit over all output bits.
    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 33;
        value *= 0xFF51AFD7ED558CCDULL;
        value ^= value >> 33;
        value *= 0xC4CEB9FE1A85EC53ULL;
        value ^= value >> 33;
        return value;
    }

}

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    // FNV-1a, 64 bits (RFC 9923), then a finalizer, since FNV alone leaves the high bits weak.
    std::uint64_t hash = 0xCBF29CE484222325ULL ^ mix(seed);
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= 0x100000001B3ULL;
    }
    return mix(hash);
}

std::uint64_t requestOrigin(const InstanceName& instance, Incarnation incarnation)
{
    return stableHash(instance.value, incarnation.number);
}

std::string toText(const RequestId& id)
{
    char text[2 * halfDigits + 1];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(id.origin), static_cast<unsigned long long>(id.sequence));
    return text;
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() != 2 * halfDigits)
        return std::nullopt;
    const auto origin = parseHalf(text.substr(0, halfDigits));
    const auto sequence = parseHalf(text.substr(halfDigits));
    if (!origin || !sequence)
        return std::nullopt;
    return RequestId { *origin, *sequence };
}

}
