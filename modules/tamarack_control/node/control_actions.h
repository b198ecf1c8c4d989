#pragma once

#include "../messages/control_message.h"
#include <tamarack_consensus/tamarack_consensus.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace tamarack {

/** Send a message of the replicated log to another control host. */
struct send_raft_message {
    raft_envelope envelope;
};

/** Send a message to a host. */
struct send_control_message {
    host_id to;
    endpoint address;
    control_message message;
};

/** Store a change durably, then call control_node::on_persisted with its number. */
struct store_change {
    persist_change change;
};

/**
 * Answer an operator's ticket: with a decision, or with an error that says whether it may still be accepted.
 */
struct answer_ticket {
    std::uint64_t operation = 0;
    outcome<ticket_answer> answer;
};

/** Answer an operator's evacuation order: done once it is committed, else the error. */
struct answer_order {
    std::uint64_t operation = 0;
    outcome<done> answer;
};

/** Answer an operator's read: done if the state is confirmed to hold the latest ticket, else the error. */
struct answer_read {
    std::uint64_t operation = 0;
    outcome<done> answer;
};

/** The latest accepted ticket, the assignment, the evacuation orders, or this member's role
 * changed. */
struct control_changed {
    raft_role role = raft_role::follower;
    log_term term = 0;
    host_id leader;
    ticket_number latest;
    std::uint64_t epoch = 0;
    std::uint64_t evacuations = 0; ///< epoch of the evacuation orders

    bool operator==(const control_changed&) const = default;
};

/** Action that the caller must carry out after an event, in the given order. */
using control_action = std::variant<send_raft_message, send_control_message, store_change, answer_ticket,
                                    answer_order, answer_read, control_changed>;
using control_actions = std::vector<control_action>;

} // namespace tamarack
