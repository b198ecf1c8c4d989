#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <optional>
#include <string>

namespace tamarack {

/** Methods of the notifications between hosts, except those of crash_suspicion_notifier. */
inline const std::string raft_method = "raft.message";
inline const std::string control_method = "control.message";
inline const std::string membership_method = "membership.message";
inline const std::string quarantine_method = "quarantine.request";
inline const std::string request_limit_method = "target.request_limit";
inline const std::string team_use_method = "team.use";
inline const std::string team_grant_method = "team.grant";
inline const std::string identity_method = "control.identity";
inline const std::string inquiry_method = "control.inquiry";

/** A control host announces its identity: its name and the incarnation of its data folder. */
struct host_identity {
    member_id member;
    data_center_id data_center;
};

/** A host queries another one for its configuration. */
struct configuration_inquiry {
    host_id from;
    endpoint reply_to;
    ticket_number held_ticket; ///< a host answers only if it holds a later ticket
};

/** A target was lost while it ran a request with this content. If `lost` is empty, requests with this content
 * are already known to crash their targets. */
struct quarantine_notice {
    digest content;
    duration age{}; ///< time since the loss was detected
    target_incarnation lost;
};

/** A host reports what a target states about its request limit. */
struct request_limit_notice {
    target_incarnation target;
    std::optional<double> per_second; ///< from all hosts together; absent if no limit is in force
    duration age{};                   ///< time since a host received the target's reply
};

/** @return the JSON parameters of the notification */
Json::Value encode_identity(const host_identity& value);
Json::Value encode_inquiry(const configuration_inquiry& value);
Json::Value encode_quarantine(const quarantine_notice& value);
Json::Value encode_request_limit(const request_limit_notice& value);
Json::Value encode_team_use(const team_use& value);
Json::Value encode_team_grant(const team_grant& value);

/** @return the message, or `malformed` if a member is missing or has the wrong type */
outcome<host_identity> decode_identity(const Json::Value& parameters);
outcome<configuration_inquiry> decode_inquiry(const Json::Value& parameters);
outcome<quarantine_notice> decode_quarantine(const Json::Value& parameters);
outcome<request_limit_notice> decode_request_limit(const Json::Value& parameters);
outcome<team_use> decode_team_use(const Json::Value& parameters);
outcome<team_grant> decode_team_grant(const Json::Value& parameters);

/** Handlers of decoded notifications from other hosts. All must be set. */
struct host_method_handlers {
    std::function<void(raft_envelope)> raft;
    std::function<void(control_message)> control;
    std::function<void(membership_message)> membership;
    std::function<void(quarantine_notice)> quarantine;
    std::function<void(request_limit_notice)> request_limit;
    std::function<void(team_use)> team_use_report;
    std::function<void(team_grant)> team_limit_grant;
    std::function<void(host_identity)> identity;
    std::function<void(configuration_inquiry)> inquiry;
    /** Called if a notification can't be decoded. It is dropped, like one lost on the network. */
    std::function<void(const std::string& method, const error& reason)> unreadable;
};

/** Registers all methods with a dispatcher. */
void register_host_methods(host_dispatcher& dispatcher, const host_method_handlers& handlers);

} // namespace tamarack
