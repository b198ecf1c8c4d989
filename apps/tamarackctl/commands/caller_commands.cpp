#include "commands.h"

#include "../json_text.h"
#include "../remote.h"
#include "../report.h"

#include <iostream>
#include <random>

namespace tamarack::ctl {

namespace {

constexpr duration answer_margin = 500ms;

std::string entries_target(const invocation& values) {
    std::string target = "/v1/entries?service=" + encode_component(values.arguments[0]);
    if (!values.data_center.empty()) {
        target += "&data_center=" + encode_component(values.data_center);
    }
    if (values.caller) {
        target += "&caller=" + std::to_string(*values.caller);
    }
    return target;
}

std::string addresses_text(const Json::Value& body) {
    std::string text;
    for (const Json::Value& address : body["addresses"]) {
        text += address.asString() + "\n";
    }
    return text;
}

exit_code entries(const invocation& values) {
    return report(
        send_with_failover(values.callers, make_request(http_method::get, entries_target(values)), values),
        values, addresses_text);
}

std::string random_request_id() {
    std::random_device device;
    return "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
}

http_request query_request(const invocation& values) {
    Json::Value body{Json::objectValue};
    body["request_id"] = values.request_id.empty() ? random_request_id() : values.request_id;
    body["body"] = values.body;
    if (values.deadline_ms) {
        body["deadline_ms"] = static_cast<Json::UInt64>(*values.deadline_ms);
    }
    if (values.least_coverage) {
        body["least_coverage"] = *values.least_coverage;
    }
    if (!values.shard.empty()) {
        body["shard"] = values.shard;
    }
    auto request =
        make_request(http_method::post, "/v1/services/" + encode_component(values.arguments[0]) + "/requests",
                     to_json_line(body));
    if (!values.key.empty()) {
        const auto now = static_cast<std::uint64_t>(wall_now().count());
        request.fields.emplace_back("Idempotency-Key", values.key);
        request.fields.emplace_back("Idempotency-Issued-At",
                                    std::to_string(values.issued_at_ms.value_or(now)));
    }
    return request;
}

std::string answer_text(const Json::Value& body) {
    std::string text = body["outcome"].asString() + ", ticket " + body["ticket"].asString() +
                       ", index version " + body["version"].asString() + ", " +
                       std::to_string(body["covered"].size()) + " shards covered, " +
                       std::to_string(body["missing"].size()) + " missing\n";
    if (body["reason"].asString() != "none" && !body["reason"].asString().empty()) {
        text += "reason: " + body["reason"].asString() + ", come back after " +
                body["retry_after_ms"].asString() + " ms\n";
    }
    for (const Json::Value& part : body["covered"]) {
        text += "  " + part["shard"].asString() + ": " + part["body"].asString() + "\n";
    }
    for (const Json::Value& part : body["missing"]) {
        text += "  " + part["shard"].asString() + " is missing: " + part["reason"].asString() + "\n";
    }
    return text;
}

exit_code exit_code_for(const std::string& outcome) {
    if (outcome == "answered") {
        return exit_code::done;
    }
    if (outcome == "partial") {
        return exit_code::partial;
    }
    return outcome == "unknown" ? exit_code::unknown : exit_code::refused;
}

/** Makes a single attempt, at the first address: a request that may have been sent is never repeated. */
exit_code query(const invocation& values) {
    if (values.callers.empty()) {
        report_error(values, "invalid_argument", "query needs --callers ADDRESS");
        return exit_code::usage;
    }
    const auto answer =
        fetch_and_wait(values.callers.front(), query_request(values), values.timeout + answer_margin);
    if (!succeeded(answer)) {
        report_error(values, std::string{to_name(error_of(answer).code)}, error_of(answer).message);
        return values.key.empty() ? exit_code::unreachable : exit_code::unknown;
    }
    const auto body = parse_json(value_of(answer).body);
    if (!body || !body->isObject() || !body->isMember("outcome")) {
        return report(answer, values, to_lines);
    }
    std::cout << (values.json ? to_json_line(*body) : answer_text(*body));
    return exit_code_for((*body)["outcome"].asString());
}

} // namespace

std::vector<command> caller_commands() {
    return {
        {"entries",
         "SERVICE",
         1,
         1,
         {"data-center", "caller"},
         "Looks up in the directory the callers' addresses of a service.",
         entries},
        {"query",
         "SERVICE",
         1,
         1,
         {"body", "body-file", "request-id", "deadline-ms", "least-coverage", "shard", "key", "issued-at-ms"},
         "Sends one request to the first callers' address. Exit code 0: answered by all shards;\n"
         "6: partial; 1: not run; 5: unknown. With --key it runs at most once, and a resend with the same\n"
         "key, body and --issued-at-ms to any host is safe.",
         query},
    };
}

} // namespace tamarack::ctl
