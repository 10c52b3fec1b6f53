#include "whinyard/config/Document.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace whinyard::config {

namespace {

    using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

    constexpr std::string_view digits = "0123456789abcdef";

    std::string bytesOf(std::string_view hexadecimal)
    {
        std::string bytes;
        for (std::size_t index = 0; index + 1 < hexadecimal.size(); index += 2) {
            const std::size_t high = digits.find(hexadecimal[index]);
            const std::size_t low = digits.find(hexadecimal[index + 1]);
            bytes += static_cast<char>((high << 4U) | low);
        }
        return bytes;
    }

    Digest digestOf(std::string_view saltHex, std::string_view key)
    {
        const std::string input = bytesOf(saltHex).append(key);
        Digest digest;
        SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
        return digest;
    }

    std::string toHexadecimal(const Digest& digest)
    {
        std::string text;
        for (const unsigned char byte : digest) {
            text += digits[byte >> 4U];
            text += digits[byte & 0xFU];
        }
        return text;
    }

}

std::string keyDigest(std::string_view saltHex, std::string_view key)
{
    return toHexadecimal(digestOf(saltHex, key));
}

bool keyMatches(std::string_view saltHex, std::string_view digestHex, std::string_view key)
{
    const std::string actual = keyDigest(saltHex, key);
    return actual.size() == digestHex.size() && CRYPTO_memcmp(actual.data(), digestHex.data(), actual.size()) == 0;
}

const Customer* authenticate(const Document& document, std::string_view key)
{
    const Customer* found = nullptr;
    for (const Customer& customer : document.customers) {
        if (keyMatches(customer.keySalt, customer.keyDigest, key))
            found = &customer;
    }
    return found;
}

}
