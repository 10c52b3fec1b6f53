#include "whinyard/policy/SessionPins.h"

#include "whinyard/base/Encoding.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <charconv>

namespace whinyard::policy {

namespace {

    constexpr std::string_view formatPrefix = "1.";
    constexpr std::size_t randomBytes = 16;
    constexpr std::size_t maximumNameLength = 255;
    constexpr std::size_t digestBytes = 32;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    std::optional<std::string> fromHex(std::string_view text)
    {
        if (text.size() % 2 != 0)
            return std::nullopt;
        std::string bytes;
        for (std::size_t i = 0; i < text.size(); i += 2) {
            const auto high = hexDigits.find(text[i]);
            const auto low = hexDigits.find(text[i + 1]);
            if (high == std::string_view::npos || low == std::string_view::npos)
                return std::nullopt;
            bytes += static_cast<char>(high << 4 | low);
        }
        return bytes;
    }

    std::string digest(const SessionKey& key, const CustomerName& customer, std::string_view signedText)
    {
        std::string message = customer.value;
        message += '\0';
        message += signedText;
        unsigned char result[EVP_MAX_MD_SIZE];
        unsigned int length = 0;
        HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), reinterpret_cast<const unsigned char*>(message.data()), message.size(), result, &length);
        return std::string(reinterpret_cast<const char*>(result), length);
    }

    void appendName(std::string& payload, std::string_view name)
    {
        payload += static_cast<char>(static_cast<unsigned char>(name.size()));
        payload += name;
    }

    bool fits(const SessionPin& pin)
    {
        return pin.requested.size() <= maximumNameLength && pin.version.value.size() <= maximumNameLength;
    }

    std::optional<std::string> payloadOf(const Session& session, std::size_t firstPin)
    {
        auto payload = fromHex(session.name.value);
        if (!payload || payload->size() != randomBytes)
            return std::nullopt;
        std::string pins;
        unsigned char count = 0;
        for (std::size_t i = firstPin; i < session.pins.size(); ++i) {
            if (!fits(session.pins[i]))
                continue;
            appendName(pins, session.pins[i].requested);
            appendName(pins, session.pins[i].version.value);
            ++count;
        }
        *payload += static_cast<char>(count);
        *payload += pins;
        return payload;
    }

    // Takes names off the front of a payload.
    std::optional<std::string> takeName(std::string_view& rest)
    {
        if (rest.empty())
            return std::nullopt;
        const std::size_t length = static_cast<unsigned char>(rest.front());
        if (rest.size() < 1 + length)
            return std::nullopt;
        std::string name(rest.substr(1, length));
        rest.remove_prefix(1 + length);
        return name;
    }

    std::optional<Session> parsePayload(std::string_view payload)
    {
        if (payload.size() < randomBytes + 1)
            return std::nullopt;
        Session session { SessionName { toHex(payload.substr(0, randomBytes)) }, {} };
        const std::size_t count = static_cast<unsigned char>(payload[randomBytes]);
        payload.remove_prefix(randomBytes + 1);
        if (count > Session::maximumPins)
            return std::nullopt;
        for (std::size_t i = 0; i < count; ++i) {
            auto requested = takeName(payload);
            auto version = takeName(payload);
            if (!requested || !version)
                return std::nullopt;
            session.pins.push_back({ std::move(*requested), VersionName { std::move(*version) } });
        }
        if (!payload.empty())
            return std::nullopt;
        return session;
    }

    struct IdentityParts {
        std::uint32_t key = 0;
        std::string_view signedText;
        std::string_view payload;
        std::string_view digest;
    };

    std::optional<IdentityParts> split(std::string_view identity)
    {
        if (!identity.starts_with(formatPrefix))
            return std::nullopt;
        const auto afterKey = identity.find('.', formatPrefix.size());
        const auto afterPayload = identity.rfind('.');
        if (afterKey == std::string_view::npos || afterPayload <= afterKey)
            return std::nullopt;
        IdentityParts parts;
        const auto key = identity.substr(formatPrefix.size(), afterKey - formatPrefix.size());
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), parts.key);
        if (parsed.ec != std::errc() || parsed.ptr != key.data() + key.size())
            return std::nullopt;
        parts.signedText = identity.substr(0, afterPayload);
        parts.payload = identity.substr(afterKey + 1, afterPayload - afterKey - 1);
        parts.digest = identity.substr(afterPayload + 1);
        return parts;
    }

}

const VersionName* Session::pinned(std::string_view requested) const
{
    const auto found = std::find_if(pins.begin(), pins.end(), [&](const SessionPin& pin) { return pin.requested == requested; });
    return found == pins.end() ? nullptr : &found->version;
}

void Session::pin(std::string_view requested, const VersionName& version)
{
    std::erase_if(pins, [&](const SessionPin& pin) { return pin.requested == requested; });
    if (pins.size() >= maximumPins)
        pins.erase(pins.begin());
    pins.push_back({ std::string(requested), version });
}

Session newSession(Random& random)
{
    std::string bytes;
    for (std::size_t i = 0; i < randomBytes / sizeof(std::uint64_t); ++i) {
        const std::uint64_t word = random();
        for (std::size_t shift = 0; shift < 64; shift += 8)
            bytes += static_cast<char>(word >> shift & 0xFF);
    }
    return Session { SessionName { toHex(bytes) }, {} };
}

SessionPins::SessionPins(std::vector<SessionKey> keys)
    : m_keys(std::move(keys))
{
}

const SessionKey* SessionPins::keyNumbered(std::uint32_t number) const
{
    const auto found = std::find_if(m_keys.begin(), m_keys.end(), [&](const SessionKey& key) { return key.number == number; });
    return found == m_keys.end() ? nullptr : &*found;
}

std::optional<std::string> SessionPins::issue(const CustomerName& customer, const Session& session) const
{
    if (m_keys.empty())
        return std::nullopt;
    const SessionKey& key = m_keys.front();
    for (std::size_t firstPin = 0; firstPin <= session.pins.size(); ++firstPin) {
        const auto payload = payloadOf(session, firstPin);
        if (!payload)
            return std::nullopt;
        std::string identity(formatPrefix);
        identity += std::to_string(key.number) + "." + encodeBase64(*payload);
        const std::string signature = encodeBase64(digest(key, customer, identity));
        if (identity.size() + 1 + signature.size() <= maximumLength)
            return identity + "." + signature;
    }
    return std::nullopt;
}

std::optional<Session> SessionPins::verify(const CustomerName& customer, std::string_view identity, Failure& failure) const
{
    failure = { ErrorKind::malformedRequest, "The session identity was not issued here, or not to this customer." };
    if (identity.size() > maximumLength)
        return std::nullopt;
    const auto parts = split(identity);
    if (!parts)
        return std::nullopt;
    const SessionKey* key = keyNumbered(parts->key);
    const auto payload = decodeBase64(parts->payload);
    const auto given = decodeBase64(parts->digest);
    if (!key || !payload || !given || given->size() != digestBytes)
        return std::nullopt;
    const std::string expected = digest(*key, customer, parts->signedText);
    if (CRYPTO_memcmp(expected.data(), given->data(), digestBytes) != 0)
        return std::nullopt;
    return parsePayload(*payload);
}

}
