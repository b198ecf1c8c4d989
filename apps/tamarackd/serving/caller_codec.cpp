#include "caller_codec.h"

#include <charconv>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t max_identifier_size = 256;
constexpr std::int64_t max_deadline_ms = 600'000;

error malformed(std::string message) {
    return error{error_code::malformed, std::move(message)};
}

unsigned status_of(error_code code) {
    switch (code) {
    case error_code::not_found:
        return 404;
    case error_code::conflict:
    case error_code::stale:
        return 409;
    case error_code::unauthorized:
        return 401;
    case error_code::not_leader:
        return 421;
    case error_code::malformed:
    case error_code::invalid_argument:
        return 400;
    default:
        return 503;
    }
}

unsigned status_of(const query_answer& answer) {
    switch (answer.outcome) {
    case request_outcome::answered:
    case request_outcome::partial:
        return 200;
    case request_outcome::unknown:
        return 502;
    case request_outcome::not_run:
        break;
    }
    if (answer.reason == refusal_reason::unknown_service) {
        return 404;
    }
    if (answer.reason == refusal_reason::key_conflict) {
        return 409;
    }
    return 503;
}

Json::Value encode_addresses(const std::vector<endpoint>& addresses) {
    Json::Value list{Json::arrayValue};
    for (const endpoint& address : addresses) {
        list.append(address.value());
    }
    return list;
}

/** Reads the idempotency headers. Callers set them on requests that must not run twice. */
outcome<done> read_idempotency(const http_request& message, caller_request& request) {
    const std::string key{find_field(message.fields, "Idempotency-Key")};
    if (key.empty()) {
        return done{};
    }
    if (key.size() > max_identifier_size) {
        return malformed("Idempotency-Key is longer than 256 bytes");
    }
    const std::string_view issued = find_field(message.fields, "Idempotency-Issued-At");
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(issued.data(), issued.data() + issued.size(), milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != issued.data() + issued.size()) {
        return malformed("Idempotency-Issued-At must be milliseconds since 1970");
    }
    request.at_most_once.key = idempotency_key{key};
    request.at_most_once.issued_at = wall_time{milliseconds};
    return done{};
}

outcome<done> read_body(const Json::Value& body, read_caller_request& result) {
    if (!body.isObject()) {
        return malformed("the body must be a JSON object");
    }
    const Json::Value& id = body["request_id"];
    if (!id.isString() || id.asString().empty() || id.asString().size() > max_identifier_size) {
        return malformed("request_id must be a string of 1 to 256 bytes");
    }
    result.request.id = request_id{id.asString()};
    if (!body.get("body", "").isString() || !body.get("shard", "").isString()) {
        return malformed("body and shard must be strings");
    }
    result.request.body = body.get("body", "").asString();
    result.request.only_shard = shard_id{body.get("shard", "").asString()};
    const Json::Value coverage = body.get("least_coverage", 0.0);
    if (!coverage.isNumeric() || coverage.asDouble() < 0.0 || coverage.asDouble() > 1.0) {
        return malformed("least_coverage must be a number from 0 to 1");
    }
    result.request.least_coverage = coverage.asDouble();
    const Json::Value deadline = body.get("deadline_ms", 0);
    if (!deadline.isInt64() || deadline.asInt64() < 0 || deadline.asInt64() > max_deadline_ms) {
        return malformed("deadline_ms must be an integer from 0 to 600000");
    }
    result.deadline = std::chrono::milliseconds{deadline.asInt64()};
    return done{};
}

Json::Value encode_covered(const query_answer& answer) {
    Json::Value list{Json::arrayValue};
    for (const covered_shard& part : answer.covered) {
        Json::Value item;
        item["shard"] = part.shard.value();
        item["body"] = part.body;
        list.append(std::move(item));
    }
    return list;
}

Json::Value encode_missing(const query_answer& answer) {
    Json::Value list{Json::arrayValue};
    for (const missing_shard& shard : answer.missing) {
        Json::Value item;
        item["shard"] = shard.shard.value();
        item["reason"] = std::string{to_name(shard.reason)};
        list.append(std::move(item));
    }
    return list;
}

Json::Int64 whole_milliseconds(duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace

outcome<read_caller_request> read_request(const service_id& service, const http_request& message) {
    const auto body = read_json(message.body);
    if (!succeeded(body)) {
        return error_of(body);
    }
    read_caller_request result;
    result.request.service = service;
    if (const auto read = read_body(value_of(body), result); !succeeded(read)) {
        return error_of(read);
    }
    if (const auto read = read_idempotency(message, result.request); !succeeded(read)) {
        return error_of(read);
    }
    return result;
}

http_response json_response(unsigned status, const Json::Value& body) {
    http_response response;
    response.status = status;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = write_json(body) + "\n";
    return response;
}

http_response to_response(const query_answer& answer, const std::vector<endpoint>& others) {
    Json::Value body;
    body["request_id"] = answer.id.value();
    body["outcome"] = std::string{to_name(answer.outcome)};
    body["reason"] = std::string{to_name(answer.reason)};
    body["ticket"] = Json::UInt64{answer.ticket.value};
    body["version"] = answer.version.value();
    body["covered"] = encode_covered(answer);
    body["missing"] = encode_missing(answer);
    const Json::Int64 retry_after = whole_milliseconds(answer.retry_after);
    const bool refused = answer.outcome == request_outcome::not_run;
    if (refused) {
        body["retry_after_ms"] = retry_after;
        body["addresses"] = encode_addresses(others);
    }
    http_response response = json_response(status_of(answer), body);
    if (refused) {
        response.fields.emplace_back("Retry-After-Ms", std::to_string(retry_after));
    }
    return response;
}

http_response to_response(const service_id& service, const directory_answer& answer) {
    Json::Value body;
    body["service"] = service.value();
    body["addresses"] = encode_addresses(answer.addresses);
    body["keep_for_ms"] = whole_milliseconds(answer.ttl);
    body["ticket"] = Json::UInt64{answer.ticket.value};
    return json_response(200, body);
}

http_response to_response(const announcement_receipt& receipt) {
    Json::Value body;
    body["next_within_ms"] = whole_milliseconds(receipt.next_within);
    body["announce_to"] = encode_addresses(receipt.announce_to);
    return json_response(200, body);
}

http_response to_response(const error& failure) {
    Json::Value body;
    body["error"] = std::string{to_name(failure.code)};
    body["message"] = failure.message;
    return json_response(status_of(failure.code), body);
}

} // namespace tamarack
