#pragma once

#include "invocation.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack::ctl {

/** A parsed command line. */
struct parsed_line {
    const command* selected = nullptr; ///< nullptr if only the general help is requested
    invocation values;
};

/**
 * Parses a command line.
 *
 * @param arguments  without the program's name
 * @param commands   all commands; the result points into it
 * @return the parsed command line, or an error message
 */
std::variant<parsed_line, std::string> parse_line(const std::vector<std::string>& arguments,
                                                  const std::vector<command>& commands);

/** @return the general help text */
std::string general_help(const std::vector<command>& commands);

/** @return the help text of one command */
std::string command_help(const command& described);

} // namespace tamarack::ctl
