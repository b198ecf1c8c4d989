#pragma once

#include "invocation.h"

#include <string>
#include <variant>
#include <vector>

namespace tamarack::ctl {

/** A valid command line. */
struct parsed_line {
    const command* chosen = nullptr; ///< nullptr if only the general help was requested
    invocation values;
};

/**
 * Parses a command line.
 *
 * @param arguments  without the program's name
 * @param commands   all commands; the result holds a pointer into this vector
 * @return the parsed command line, or an error message
 */
std::variant<parsed_line, std::string> parse_line(const std::vector<std::string>& arguments,
                                                  const std::vector<command>& commands);

/** @return the help text of the tool */
std::string general_help(const std::vector<command>& commands);

/** @return the help text of one command */
std::string command_help(const command& described);

} // namespace tamarack::ctl
