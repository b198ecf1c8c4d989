#include "digest.h"

#include "../errors/invariant.h"

#include <openssl/evp.h>

#include <array>
#include <cstddef>

namespace tamarack {

digest digest_of(std::string_view content) {
    constexpr std::size_t sha256_bytes = 32;
    std::array<unsigned char, sha256_bytes> bytes{};
    unsigned int length = 0;
    const int status =
        EVP_Digest(content.data(), content.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    require_invariant(status == 1 && length == sha256_bytes, "SHA-256 is always available");

    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * sha256_bytes);
    for (const unsigned char byte : bytes) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0x0fU]);
    }
    return digest{std::move(hex)};
}

} // namespace tamarack
