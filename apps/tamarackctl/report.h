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
 * Prints the daemon's answer.
 *
 * @param answer  the daemon's response, or why there is none
 * @param values  select text or JSON
 * @param format  formats the body of a success; any other response is printed as an error
 * @return the exit code of the tool
 */
exit_code report(const outcome<http_response>& answer, const invocation& values,
                 const text_formatter& format);

/** Prints an error on standard error, as JSON if selected. */
void report_error(const invocation& values, const std::string& kind, const std::string& message);

} // namespace tamarack::ctl
