#include "host_methods.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** Registers one method. Decoded messages go to the handler; decoding errors go to `unreadable`. */
template <typename Decode, typename Handler>
void on(host_dispatcher& dispatcher, const std::string& method, const host_method_handlers& handlers,
        Decode decode, Handler handler) {
    dispatcher.on(method,
                  [method, decode, handler, unreadable = handlers.unreadable](const Json::Value& parameters) {
                      auto message = decode(parameters);
                      if (succeeded(message)) {
                          handler(value_of(std::move(message)));
                      } else {
                          unreadable(method, error_of(message));
                      }
                  });
}

} // namespace

Json::Value encode_identity(const host_identity& value) {
    Json::Value parameters;
    parameters["host"] = value.member.host.value();
    parameters["life"] = Json::UInt64{value.member.incarnation.value};
    parameters["data_center"] = value.data_center.value();
    return parameters;
}

Json::Value encode_inquiry(const configuration_inquiry& value) {
    Json::Value parameters;
    parameters["host"] = value.from.value();
    parameters["reply_to"] = value.reply_to.value();
    parameters["holds"] = Json::UInt64{value.held_ticket.value};
    return parameters;
}

outcome<host_identity> decode_identity(const Json::Value& parameters) {
    const bool readable = parameters["host"].isString() && parameters["life"].isUInt64() &&
                          parameters["data_center"].isString();
    if (!readable) {
        return error{error_code::malformed,
                     "identity notification: a member is missing or has the wrong type"};
    }
    return host_identity{
        {host_id{parameters["host"].asString()}, incarnation_id{parameters["life"].asUInt64()}},
        data_center_id{parameters["data_center"].asString()}};
}

outcome<configuration_inquiry> decode_inquiry(const Json::Value& parameters) {
    const bool readable =
        parameters["host"].isString() && parameters["reply_to"].isString() && parameters["holds"].isUInt64();
    if (!readable) {
        return error{error_code::malformed,
                     "configuration inquiry: a member is missing or has the wrong type"};
    }
    return configuration_inquiry{host_id{parameters["host"].asString()},
                                 endpoint{parameters["reply_to"].asString()},
                                 ticket_number{parameters["holds"].asUInt64()}};
}

Json::Value encode_quarantine(const quarantine_notice& value) {
    Json::Value parameters;
    parameters["digest"] = value.content.hex();
    parameters["age_ms"] = Json::Int64{value.age / 1ms};
    if (!value.lost.target.empty()) {
        parameters["target"] = value.lost.target.value();
        parameters["life"] = Json::UInt64{value.lost.incarnation.value};
    }
    return parameters;
}

/** Accepts notices without a target, which the previous release sends. */
outcome<quarantine_notice> decode_quarantine(const Json::Value& parameters) {
    const Json::Value& age = parameters["age_ms"];
    const Json::Value& target = parameters["target"];
    const bool names_target = target.isString() && parameters["life"].isUInt64();
    const bool readable = parameters["digest"].isString() && (age.isNull() || age.isUInt64()) &&
                          (target.isNull() || names_target);
    if (!readable) {
        return error{error_code::malformed,
                     "quarantine notification: a member is missing or has the wrong type"};
    }
    constexpr std::int64_t max_age_ms = crash_records::evidence_remembered_for / 1ms;
    const auto milliseconds = static_cast<std::int64_t>(
        std::min<std::uint64_t>(age.isNull() ? 0 : age.asUInt64(), std::uint64_t{max_age_ms}));
    quarantine_notice notice{digest{parameters["digest"].asString()}, milliseconds * 1ms, {}};
    if (names_target) {
        notice.lost = {target_id{target.asString()}, incarnation_id{parameters["life"].asUInt64()}};
    }
    return notice;
}

Json::Value encode_request_limit(const request_limit_notice& value) {
    Json::Value parameters;
    parameters["target"] = value.target.target.value();
    parameters["life"] = Json::UInt64{value.target.incarnation.value};
    parameters["age_ms"] = Json::Int64{value.age / 1ms};
    if (value.per_second) {
        parameters["per_second"] = *value.per_second;
    }
    return parameters;
}

outcome<request_limit_notice> decode_request_limit(const Json::Value& parameters) {
    const Json::Value& per_second = parameters["per_second"];
    const bool valid_limit = per_second.isNull() || (per_second.isNumeric() && per_second.asDouble() >= 0.0);
    const bool readable = parameters["target"].isString() && parameters["life"].isUInt64() &&
                          parameters["age_ms"].isUInt64() && valid_limit;
    if (!readable) {
        return error{error_code::malformed,
                     "request limit notification: a member is missing or has the wrong type"};
    }
    constexpr std::uint64_t max_age_ms = 2 * request_limit::min_check_interval / 1ms;
    const std::uint64_t age = std::min<std::uint64_t>(max_age_ms, parameters["age_ms"].asUInt64());
    request_limit_notice notice;
    notice.target = {target_id{parameters["target"].asString()},
                     incarnation_id{parameters["life"].asUInt64()}};
    if (!per_second.isNull()) {
        notice.per_second = per_second.asDouble();
    }
    notice.age = static_cast<std::int64_t>(age) * 1ms;
    return notice;
}

void register_host_methods(host_dispatcher& dispatcher, const host_method_handlers& handlers) {
    on(dispatcher, raft_method, handlers, decode_envelope, handlers.raft);
    on(dispatcher, control_method, handlers, decode_control_message, handlers.control);
    on(dispatcher, membership_method, handlers, decode_membership_message, handlers.membership);
    on(dispatcher, quarantine_method, handlers, decode_quarantine, handlers.quarantine);
    on(dispatcher, request_limit_method, handlers, decode_request_limit, handlers.request_limit);
    on(dispatcher, team_use_method, handlers, decode_team_use, handlers.team_use_report);
    on(dispatcher, team_grant_method, handlers, decode_team_grant, handlers.team_limit_grant);
    on(dispatcher, identity_method, handlers, decode_identity, handlers.identity);
    on(dispatcher, inquiry_method, handlers, decode_inquiry, handlers.inquiry);
}

} // namespace tamarack
