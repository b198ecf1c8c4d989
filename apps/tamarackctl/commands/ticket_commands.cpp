#include "commands.h"

#include "../json_text.h"
#include "../remote.h"
#include "../report.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace tamarack::ctl {

namespace {

std::optional<std::string> read_ticket(const std::string& path) {
    if (path == "-") {
        return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
    }
    std::ifstream file{path};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::string verdict_text(const Json::Value& body) {
    return body["verdict"].asString() + ": ticket " + body["number"].asString() + ", latest accepted " +
           body["latest"].asString() + "\n";
}

exit_code submit(const invocation& values) {
    const auto text = read_ticket(values.arguments[0]);
    if (!text) {
        report_error(values, "input_output", "can't read the ticket " + values.arguments[0]);
        return exit_code::usage;
    }
    const auto request = make_request(http_method::post, "/v1/tickets", *text);
    const exit_code code =
        report(send_with_failover(values.operators, request, values), values, verdict_text);
    return code == exit_code::unreachable ? exit_code::unknown : code;
}

exit_code show(const invocation& values) {
    return report(
        send_with_failover(values.operators, make_request(http_method::get, "/v1/tickets/in-force"), values),
        values, to_lines);
}

exit_code history(const invocation& values) {
    return report(
        send_with_failover(values.operators, make_request(http_method::get, "/v1/tickets/history"), values),
        values, to_lines);
}

} // namespace

std::vector<command> ticket_commands() {
    return {
        {"ticket submit",
         "FILE",
         1,
         1,
         {},
         "Submits a ticket (JSON; \"-\" reads standard input). Exit code 0: accepted, now or earlier;\n"
         "1: refused, with all reasons. After exit code 5, submit the same file again:\n"
         "a resend gets the same answer as the first submission.",
         submit},
        {"ticket show",
         "",
         0,
         0,
         {},
         "Shows the latest accepted ticket and whether it is in force on every host.",
         show},
        {"ticket history", "", 0, 0, {}, "Lists accepted tickets with digest and author.", history},
    };
}

} // namespace tamarack::ctl
