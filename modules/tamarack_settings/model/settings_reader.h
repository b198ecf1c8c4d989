#pragma once

#include "settings.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/** One mistake in a settings file. */
struct settings_mistake {
    std::string section;
    std::string key;
    std::string value;   ///< as written; empty when the key is missing
    std::string allowed; ///< description of the accepted values
};

/** Every mistake found in one settings file. */
using settings_mistakes = std::vector<settings_mistake>;

/**
 * Reads and checks settings given as INI text.
 *
 * Durations and sizes need a unit ("250ms", "3s", "16KiB"); unknown sections and keys are mistakes.
 *
 * @param text  the content of a settings file
 * @return the settings, or all mistakes: first those of keys in the file, in the file's order, then
 * missing keys
 * @see read_settings_file
 */
std::variant<settings, settings_mistakes> parse_settings(const std::string& text);

/**
 * Reads and checks a settings file.
 *
 * In addition to parse_settings, it checks that the data folder exists and is writable, and that the token
 * file exists and is accessible to its owner only.
 *
 * @param path  the file
 * @return the settings, or all mistakes; a file that can't be read counts as one mistake
 */
std::variant<settings, settings_mistakes> read_settings_file(const std::string& path);

/** @return a human-readable line with the section, the key, its value and the allowed values */
std::string describe(const settings_mistake& mistake);

} // namespace tamarack
