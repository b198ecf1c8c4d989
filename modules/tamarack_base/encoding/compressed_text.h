#pragma once

#include "../errors/outcome.h"
#include "../units/sizes.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarack {

/**
 * Compresses a text for a JSON message.
 *
 * Meant for texts of several kilobytes that are sent to many hosts: compress once, send the result to all.
 *
 * @return the zlib-compressed bytes as Base64
 */
std::string compress_text(std::string_view text);

/**
 * @param compressed  a result of compress_text
 * @param max_bytes   maximum size of the decompressed text
 * @return the text, or a malformed error when the input is damaged or the text is longer
 */
outcome<std::string> decompress_text(std::string_view compressed, std::size_t max_bytes);

} // namespace tamarack
