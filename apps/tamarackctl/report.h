#pragma once

#include "exit_code.h"
#include "invocation.h"

#include <json/value.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <string>

namespace tamarack::ctl {

/** Formats a response body as human-readable text. */
using text_formatter = std::function<std::string(const Json::Value&)>;

/**
 * Prints an answer and determines the tool's exit code.
 *
 * @param answer  the daemon's response, or the error if there is none
 * @param values  says whether to print JSON
 * @param format  formats the body of a successful response; others are printed as an error
 */
exit_code report(const outcome<http_response>& answer, const invocation& values,
                 const text_formatter& format);

/** Prints an error to standard error, as JSON if `--json` was given. */
void report_error(const invocation& values, const std::string& kind, const std::string& message);

} // namespace tamarack::ctl
