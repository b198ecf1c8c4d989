#include "packed_text.h"

namespace tamarack {

namespace {

constexpr std::size_t min_compressed_bytes = 4 * kibibyte;
/** Maximum size of an unpacked text. The edges bound what it can contain. */
constexpr std::size_t max_unpacked_bytes = 512 * mebibyte;

} // namespace

std::string pack_text(std::string text) {
    if (text.size() < min_compressed_bytes) {
        return text;
    }
    return compress_text(text);
}

outcome<std::string> unpack_text(const std::string& packed) {
    if (packed.starts_with('{')) { // no Base64 begins like this
        return packed;
    }
    return decompress_text(packed, max_unpacked_bytes);
}

} // namespace tamarack
