#pragma once

#include <tamarack_consensus/tamarack_consensus.h>
#include <tamarack_ledger/tamarack_ledger.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>

namespace tamarack {

/** Times and limits of a control host. */
struct control_options {
    raft_options raft;
    lease_options leases;
    history_limits history;
    ledger_limits ledger;
    /**
     * A snapshot is taken once the number of entries applied since the previous one reaches both this value
     * and the number of items in the state, so that its cost stays proportional to the number of entries that
     * it replaces.
     */
    std::uint64_t min_entries_per_snapshot = 2'000;
    duration read_batch_delay = 20ms; ///< time for which renewals wait to share one confirmed read
    duration replan_interval = 500ms; ///< interval between checks of the assignment
};

} // namespace tamarack
