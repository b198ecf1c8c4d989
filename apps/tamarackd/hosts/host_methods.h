#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <string>

namespace tamarack {

/** Names of the notifications between hosts, but for those of crash_suspicion_notifier. */
inline const std::string raft_method = "raft.message";
inline const std::string control_method = "control.message";
inline const std::string membership_method = "membership.message";
inline const std::string quarantine_method = "quarantine.request";
inline const std::string identity_method = "control.identity";
inline const std::string inquiry_method = "control.inquiry";

/** A control host says which incarnation of its data folder it has. */
struct host_identity {
    member_id member;
    data_center_id data_center;
};

/** A host asks another for its configuration. */
struct configuration_inquiry {
    host_id from;
    endpoint reply_to;
    ticket_number held_ticket; ///< nothing is answered unless the other holds a later one
};

/** A target was lost to a content, or, where none is named, requests of the content crash their targets. */
struct quarantine_notice {
    digest content;
    duration age{}; ///< since it was found
    target_incarnation lost;
};

/** @return the parameters of the notification */
Json::Value encode_identity(const host_identity& value);
Json::Value encode_inquiry(const configuration_inquiry& value);
Json::Value encode_quarantine(const quarantine_notice& value);

/** @return the message, or malformed when a member is missing or of another type */
outcome<host_identity> decode_identity(const Json::Value& parameters);
outcome<configuration_inquiry> decode_inquiry(const Json::Value& parameters);
outcome<quarantine_notice> decode_quarantine(const Json::Value& parameters);

/** What is done with a notification of another host, once it is decoded. Every handler is set. */
struct host_method_handlers {
    std::function<void(raft_envelope)> raft;
    std::function<void(control_message)> control;
    std::function<void(membership_message)> membership;
    std::function<void(quarantine_notice)> quarantine;
    std::function<void(host_identity)> identity;
    std::function<void(configuration_inquiry)> inquiry;
    /** A notification can't be decoded; it is dropped, as if it were lost. */
    std::function<void(const std::string& method, const error& reason)> unreadable;
};

/** Registers the methods with a dispatcher. */
void register_host_methods(host_dispatcher& dispatcher, const host_method_handlers& handlers);

} // namespace tamarack
