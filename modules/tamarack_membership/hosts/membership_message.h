#pragma once

#include "../targets/target_registry.h"
#include "host_record.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarack {

/** Changed hosts and targets, carried by probes and pushes. */
struct membership_updates {
    std::vector<host_record> hosts;
    std::vector<target_record> targets;

    bool empty() const { return hosts.empty() && targets.empty(); }
    std::size_t size() const { return hosts.size() + targets.size(); }

    bool operator==(const membership_updates&) const = default;
};

/** Asks a host whether it is running, directly or on behalf of another host. */
struct probe_request {
    std::uint64_t number = 0;
    host_id from;
    host_id subject;         ///< the host to probe; empty or the receiver itself for a direct probe
    bool full_state = false; ///< the reply must include the receiver's own record, which may be unknown
    membership_updates updates;

    bool operator==(const probe_request&) const = default;
};

/** Answers a probe. */
struct probe_reply {
    std::uint64_t number = 0;
    host_id from;
    host_id subject;
    membership_updates updates;

    bool operator==(const probe_reply&) const = default;
};

/** Updates sent immediately, without a probe. */
struct update_push {
    host_id from;
    membership_updates updates;
    /** If not 0, the receiver forwards the updates of targets to all hosts, and confirms this number. */
    std::uint64_t confirmation = 0;

    bool operator==(const update_push&) const = default;
};

/** Confirms that the sender holds the updates of a push and forwards them. */
struct push_confirmation {
    std::uint64_t number = 0;
    host_id from;

    bool operator==(const push_confirmation&) const = default;
};

/** Number of groups into which records are divided by hash for the state comparison. */
constexpr std::size_t state_groups = 256;

/** Asks another host to compare states, starting at one group of records. */
struct sync_request {
    std::uint64_t number = 0;
    host_id from;
    std::size_t first_group = 0;
    std::vector<std::uint32_t> hashes; ///< of the sender's groups, from first_group to the last
    std::uint32_t registered_hash =
        0; ///< of the targets that the sender believes to be registered at the receiver

    bool operator==(const sync_request&) const = default;
};

/** Answers a sync_request with the receiver's records in the groups that differ. */
struct sync_reply {
    std::uint64_t number = 0;
    host_id from;
    std::size_t next_group = 0; ///< groups before it have been compared; the next request continues here
    std::vector<std::size_t>
        differ; ///< groups that differ: the requesting host sends its own records of these
    bool lists_registered =
        false; ///< whether `registered` is filled in, because the registered targets differ
    std::vector<target_id> registered; ///< all targets registered at the sender
    membership_updates records;

    bool operator==(const sync_reply&) const = default;
};

/** Messages between hosts; they may be lost. */
using membership_message =
    std::variant<probe_request, probe_reply, update_push, sync_request, sync_reply, push_confirmation>;

/** Limits of one message; a message that exceeds them is malformed. */
struct membership_message_bounds {
    static constexpr std::size_t records = 1'000;
    static constexpr std::size_t registered = 10'000;
};

} // namespace tamarack
