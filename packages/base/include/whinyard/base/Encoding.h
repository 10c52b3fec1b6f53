// Bytes as text: hexadecimal, base64 (RFC 4648, with padding), and SHA-256 and random bytes as
// hexadecimal, all by OpenSSL where it has them.
//
// Records, session identities, the administration API and idempotency digests use it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard {

// Writes two lower-case hexadecimal digits a byte.
std::string toHex(std::string_view bytes);

// Returns the SHA-256 of `bytes` as 64 hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Returns `count` bytes of the system's cryptographic generator as hexadecimal.
std::string randomHex(std::size_t count);

std::string encodeBase64(std::string_view bytes);

// Returns nothing for text that encodeBase64() would not write.
std::optional<std::string> decodeBase64(std::string_view text);

}
