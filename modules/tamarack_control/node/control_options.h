#pragma once

#include <tamarack_consensus/tamarack_consensus.h>
#include <tamarack_ledger/tamarack_ledger.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <cstdint>

namespace tamarack {

/** Times and bounds of a control host. */
struct control_options {
    raft_options raft;
    lease_options leases;
    history_limits history;
    ledger_limits ledger;
    /** The log is cut after this many applied entries, or as many as the state has parts if that is more:
     * so the cost of a snapshot stays in proportion to the entries that it cuts. */
    std::uint64_t min_entries_per_snapshot = 2'000;
    duration read_batch_delay = 20ms; ///< renewals wait this long to share one confirmed read
    duration replan_interval = 500ms; ///< between two checks of the assignment
};

} // namespace tamarack
