#include "compressed_text.h"

#include "../errors/invariant.h"

#include <openssl/evp.h>
#include <zlib.h>

#include <limits>
#include <vector>

namespace tamarack {

namespace {

constexpr std::size_t base64_group_chars = 4;
constexpr std::size_t base64_group_bytes = 3;

std::string to_base64(const std::vector<unsigned char>& bytes, std::size_t size) {
    std::string text((size + base64_group_bytes - 1) / base64_group_bytes * base64_group_chars, '\0');
    // EVP_EncodeBlock appends a zero byte, which overwrites the string's own terminator.
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(), static_cast<int>(size));
    return text;
}

std::vector<unsigned char> from_base64(std::string_view text) {
    std::vector<unsigned char> bytes(text.size() / base64_group_chars * base64_group_bytes);
    const int size = EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return bytes;
}

error damaged_text() {
    return error{error_code::malformed, "compressed text is damaged or longer than allowed"};
}

} // namespace

std::string compress_text(std::string_view text) {
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::vector<unsigned char> compressed(size);
    const int result = compress(compressed.data(), &size, reinterpret_cast<const unsigned char*>(text.data()),
                                static_cast<uLong>(text.size()));
    require_invariant(result == Z_OK, "compressBound() is large enough for the compressed text");
    return to_base64(compressed, size);
}

outcome<std::string> decompress_text(std::string_view compressed, std::size_t max_bytes) {
    if (compressed.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        return damaged_text();
    }
    const std::vector<unsigned char> bytes = from_base64(compressed);
    z_stream stream{};
    if (bytes.empty() || inflateInit(&stream) != Z_OK) {
        return damaged_text();
    }
    std::string text;
    stream.next_in = const_cast<unsigned char*>(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
    int result = Z_OK;
    while (result == Z_OK && text.size() <= max_bytes) {
        constexpr std::size_t chunk_bytes = 64 * kibibyte;
        const std::size_t old_size = text.size();
        text.resize(old_size + chunk_bytes);
        stream.next_out = reinterpret_cast<unsigned char*>(text.data() + old_size);
        stream.avail_out = static_cast<uInt>(chunk_bytes);
        result = inflate(&stream, Z_NO_FLUSH);
        text.resize(old_size + chunk_bytes - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || text.size() > max_bytes) {
        return damaged_text();
    }
    return text;
}

} // namespace tamarack
