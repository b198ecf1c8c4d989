#include "report.h"

#include "json_text.h"

#include <iostream>

namespace tamarack::ctl {

namespace {

constexpr unsigned min_success_status = 200;
constexpr unsigned max_success_status = 299;
constexpr unsigned status_not_leader = 421;
constexpr unsigned status_unavailable = 503;

std::string refusal_text(const http_response& response, const Json::Value& body) {
    std::string text = "refused (HTTP " + std::to_string(response.status) + ")\n";
    return text + (body.isNull() ? response.body + "\n" : to_lines(body));
}

exit_code exit_code_for(const http_response& response) {
    if (response.status >= min_success_status && response.status <= max_success_status) {
        return exit_code::done;
    }
    const bool undecided = response.status == status_not_leader || response.status == status_unavailable;
    return undecided ? exit_code::not_ready : exit_code::refused;
}

} // namespace

void report_error(const invocation& values, const std::string& kind, const std::string& message) {
    if (!values.json) {
        std::cerr << "tamarackctl: " << message << '\n';
        return;
    }
    Json::Value body{Json::objectValue};
    body["error"] = kind;
    body["message"] = message;
    std::cerr << to_json_line(body);
}

exit_code report(const outcome<http_response>& answer, const invocation& values,
                 const text_formatter& format) {
    if (!succeeded(answer)) {
        const error& failure = error_of(answer);
        report_error(values, std::string{to_name(failure.code)}, failure.message);
        return exit_code::unreachable;
    }
    const http_response& response = value_of(answer);
    const Json::Value body = parse_json(response.body).value_or(Json::Value{});
    const exit_code code = exit_code_for(response);
    if (values.json) {
        std::cout << (body.isNull() ? "{}\n" : to_json_line(body));
    } else if (code == exit_code::done) {
        std::cout << format(body);
    } else {
        std::cerr << "tamarackctl: " << refusal_text(response, body);
    }
    return code;
}

} // namespace tamarack::ctl
