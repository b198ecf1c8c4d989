#pragma once

#include <tamarack_consensus/tamarack_consensus.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack {

/** An operator waits for the answer to a ticket. */
struct ticket_waiter {
    std::uint64_t operation = 0;
};

/** An operator waits until an evacuation order is committed. */
struct order_waiter {
    std::uint64_t operation = 0;
};

/** A host waits for the decision on a claim. */
struct claim_waiter {
    host_id from;
    endpoint reply_to;
    std::uint64_t operation = 0;
};

/** A host waits until a result is recorded. */
struct result_waiter {
    host_id from;
    endpoint reply_to;
    std::uint64_t operation = 0;
};

/** Nobody waits: the proposal is the leader's own. */
struct own_waiter {};

/** An operation of a host, identified by the host's own number for it. */
using host_operation = std::pair<host_id, std::uint64_t>;

using proposal_waiter = std::variant<ticket_waiter, order_waiter, claim_waiter, result_waiter, own_waiter>;

/** Waiter of an applied entry, and whether the entry is the one that was proposed. */
struct settled_proposal {
    proposal_waiter waiter;
    bool is_own_entry = false; ///< false when another leader's entry was committed at this index
};

/** The leader's proposals that are not applied yet, with the waiter of each. Internal to the module. */
class pending_proposals {
public:
    void add(const proposal_position& place, proposal_waiter waiter);

    /** @return the waiter of an entry that was just applied, if there is one */
    std::optional<settled_proposal> take(const log_entry& applied);

    /** @return all waiters, which are removed; called when leadership is lost */
    std::vector<proposal_waiter> remove_all();

    /** @return whether this host's operation is waiting already */
    bool holds(const host_id& from, std::uint64_t operation) const;

    /** @return whether a proposal of the leader's own is waiting */
    bool holds_own() const { return m_own_count > 0; }

private:
    struct pending_proposal {
        log_term term = 0;
        proposal_waiter waiter;
    };

    std::map<log_index, pending_proposal> m_waiting;
    std::set<host_operation> m_operations; ///< operations of the waiters, to detect retransmitted requests
    std::size_t m_own_count = 0;
};

} // namespace tamarack
