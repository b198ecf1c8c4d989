#include "exchange_codec.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace tamarack {

namespace {

constexpr unsigned status_ok = 200;

template <typename Number>
std::optional<Number> read_number(std::string_view text) {
    Number number{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return number;
}

std::string exchange_id(exchange_number number, incarnation_id incarnation) {
    return std::to_string(incarnation.value) + "-" + std::to_string(number);
}

/** @return the number, or nullopt if this process did not issue the identifier */
std::optional<exchange_number> read_exchange_id(std::string_view text, incarnation_id incarnation) {
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos || text.substr(0, dash) != std::to_string(incarnation.value)) {
        return std::nullopt;
    }
    return read_number<exchange_number>(text.substr(dash + 1));
}

} // namespace

http_request to_run_request(const exchange& sent, incarnation_id incarnation, time_point now) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(sent.deadline - now);
    http_request request;
    request.method = http_method::post;
    request.target = "/v1/run";
    request.fields = {
        {"Exchange-Id", exchange_id(sent.number, incarnation)},
        {"Request-Id", sent.caller_id.value()},
        {"Service", sent.service.value()},
        {"Shard", sent.shard.value()},
        {"Index-Version", sent.version.value()},
        {"Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 0))},
    };
    if (!sent.key.empty()) {
        request.fields.emplace_back("Idempotency-Key", sent.key.value());
    }
    request.body = *sent.body;
    return request;
}

exchange_reply read_run_response(http_response response, incarnation_id incarnation) {
    exchange_reply reply;
    reply.ends_connection = response.ends_connection;
    const auto number = read_exchange_id(find_field(response.fields, "Exchange-Id"), incarnation);
    const auto status = from_name<exchange_status>(find_field(response.fields, "Exchange-Status"));
    if (response.status != status_ok || !number || !status) {
        return reply;
    }
    reply.number = *number;
    reply.status = *status;
    reply.shard = shard_id{std::string{find_field(response.fields, "Shard")}};
    reply.version = index_version{std::string{find_field(response.fields, "Index-Version")}};
    reply.reported_load = read_number<std::uint32_t>(find_field(response.fields, "Load")).value_or(0);
    const auto pause = read_number<std::int64_t>(find_field(response.fields, "Retry-After-Ms")).value_or(0);
    reply.retry_after = std::chrono::milliseconds{pause};
    reply.body = std::move(response.body);
    return reply;
}

http_request to_cancel_request(exchange_number number, incarnation_id incarnation) {
    http_request request;
    request.method = http_method::post;
    request.target = "/v1/cancel/" + exchange_id(number, incarnation);
    return request;
}

http_request to_liveness_request() {
    http_request request;
    request.target = "/v1/live";
    return request;
}

} // namespace tamarack
