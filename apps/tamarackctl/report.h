#pragma once

#include "exit_code.h"
#include "invocation.h"

#include <json/value.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <string>

namespace tamarack::ctl {

/** Turns a body into text for people. */
using text_formatter = std::function<std::string(const Json::Value&)>;

/**
 * Prints an answer and tells how the tool ends.
 *
 * @param answer  of the daemon, or why there is none
 * @param values  whether JSON is wanted
 * @param form    text for people of a success; others are printed as an error
 */
exit_code report(const outcome<http_response>& answer, const invocation& values,
                 const text_formatter& format);

/** Prints an error on standard error, as JSON when wanted. */
void report_error(const invocation& values, const std::string& kind, const std::string& message);

} // namespace tamarack::ctl
