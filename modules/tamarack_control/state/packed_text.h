#pragma once

#include <tamarack_base/tamarack_base.h>

#include <string>

namespace tamarack {

/**
 * Packs a JSON text of the log. A command or a snapshot can contain whole configurations, and each control
 * host keeps, stores and sends it, so a large one is compressed.
 *
 * @param text  begins with '{'
 */
std::string pack_text(std::string text);

/** @return the text that was packed, or a malformed error; plain texts of earlier versions are returned as
 * they are */
outcome<std::string> unpack_text(const std::string& packed);

} // namespace tamarack
