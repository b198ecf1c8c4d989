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
 * Use it for texts of some kilobytes that go to many hosts: compress once, send often.
 *
 * @return the compressed bytes as Base64
 */
std::string compress_text(std::string_view text);

/**
 * @param compressed  what compress_text returned
 * @param most        bytes of the text at most
 * @return the text, or malformed when it is damaged or longer
 */
outcome<std::string> decompress_text(std::string_view compressed, std::size_t most);

} // namespace tamarack
