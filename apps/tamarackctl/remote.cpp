#include "remote.h"

#include "json_text.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace tamarack::ctl {

namespace {

constexpr duration max_attempt_time = 3s;
constexpr duration pause_between_rounds = 100ms;
constexpr unsigned status_not_leader = 421;
constexpr unsigned status_unavailable = 503;

bool is_final(const http_response& response) {
    return response.status != status_not_leader && response.status != status_unavailable;
}

/** @return the leader's address from a "not the leader" response, or an empty endpoint */
endpoint leader_from(const http_response& response) {
    const auto body = parse_json(response.body);
    if (response.status != status_not_leader || !body || !body->isObject()) {
        return endpoint{};
    }
    return endpoint{(*body)["leader_address"].asString()};
}

http_request with_token(http_request request, const invocation& values) {
    if (!values.token.empty()) {
        request.fields.emplace_back("Authorization", "Bearer " + values.token);
    }
    return request;
}

outcome<http_response> send_once(const endpoint& address, const http_request& request, time_point deadline) {
    const duration remaining = deadline - steady_now();
    if (remaining <= duration{}) {
        return error{error_code::timed_out, "timed out before sending to " + address.value()};
    }
    return fetch_and_wait(address, request, std::min(remaining, max_attempt_time));
}

} // namespace

outcome<http_response> send_with_failover(const std::vector<endpoint>& addresses, const http_request& request,
                                          const invocation& values) {
    const http_request authorised = with_token(request, values);
    const time_point deadline = steady_now() + values.timeout;
    outcome<http_response> last = error{error_code::unavailable, "no address given"};
    std::size_t next = 0;
    endpoint leader;
    while (!addresses.empty() && steady_now() < deadline) {
        const endpoint address = leader.empty() ? addresses[next++ % addresses.size()] : leader;
        outcome<http_response> answer = send_once(address, authorised, deadline);
        leader = endpoint{};
        if (succeeded(answer)) {
            if (is_final(value_of(answer))) {
                return answer;
            }
            leader = leader_from(value_of(answer));
            last = std::move(answer);
        } else if (!succeeded(last)) {
            last = std::move(answer);
        }
        if (leader.empty() && next % addresses.size() == 0) {
            std::this_thread::sleep_for(pause_between_rounds);
        }
    }
    return last;
}

http_request make_request(http_method method, std::string target, std::string body) {
    http_request request;
    request.method = method;
    request.target = std::move(target);
    request.body = std::move(body);
    if (!request.body.empty()) {
        request.fields.emplace_back("Content-Type", "application/json");
    }
    return request;
}

} // namespace tamarack::ctl
