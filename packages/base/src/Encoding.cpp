#include "whinyard/base/Encoding.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace whinyard {

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4U];
        text += digits[value & 0xFU];
    }
    return text;
}

std::string sha256Hex(std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), reinterpret_cast<unsigned char*>(digest.data()));
    return toHex(digest);
}

std::string randomHex(std::size_t count)
{
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    return toHex(bytes);
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    if (encodeBase64(bytes) != text)
        return std::nullopt;
    return bytes;
}

}
