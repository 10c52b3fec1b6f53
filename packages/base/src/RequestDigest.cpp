#include "whinyard/base/RequestDigest.h"

#include "whinyard/base/Encoding.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace whinyard {

namespace {

    // Bytes of the text "a prompt".
    constexpr std::uint64_t partMark = 0x61'20'70'72'6F'6D'70'74;
    static_assert(sizeof(RequestDigest::bytes) == sizeof(PartDigest::value) + sizeof partMark);

    using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

    // Each part goes with its length before it, so that bytes can't move from one part to the next.
    void add(EVP_MD_CTX* context, std::string_view part)
    {
        const std::uint64_t length = part.size();
        EVP_DigestUpdate(context, &length, sizeof length);
        EVP_DigestUpdate(context, part.data(), part.size());
    }

}

RequestDigest digestOf(const RequestContent& content)
{
    const Context context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : { content.customer, content.method, content.host, content.target, content.body })
        add(context.get(), part);
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole {};
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), whole.data(), &size);
    RequestDigest digest;
    std::copy_n(whole.begin(), digest.bytes.size(), digest.bytes.begin());
    return digest;
}

PartDigest digestOfPart(const ServiceName& service, std::uint64_t part)
{
    return { stableHash(service.value, part) };
}

RequestDigest traitOf(PartDigest part)
{
    RequestDigest trait;
    std::memcpy(trait.bytes.data(), &part.value, sizeof part.value);
    std::memcpy(trait.bytes.data() + sizeof part.value, &partMark, sizeof partMark);
    return trait;
}

std::optional<PartDigest> partOf(const RequestDigest& trait)
{
    PartDigest part;
    if (std::memcmp(trait.bytes.data() + sizeof part.value, &partMark, sizeof partMark) != 0)
        return std::nullopt;
    std::memcpy(&part.value, trait.bytes.data(), sizeof part.value);
    return part;
}

std::string toText(const std::vector<PartDigest>& parts)
{
    std::string text;
    for (const PartDigest part : parts)
        text += (text.empty() ? "" : ",") + toText(traitOf(part));
    return text;
}

std::string toText(const RequestDigest& digest)
{
    return toHex({ reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size() });
}

std::optional<RequestDigest> parseRequestDigest(std::string_view text)
{
    constexpr std::size_t digitsPerByte = 2;
    constexpr int hexadecimal = 16;
    RequestDigest digest;
    if (text.size() != digitsPerByte * digest.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const char* begin = text.data() + digitsPerByte * i;
        if (std::from_chars(begin, begin + digitsPerByte, digest.bytes[i], hexadecimal).ptr != begin + digitsPerByte)
            return std::nullopt;
    }
    return digest;
}

}
