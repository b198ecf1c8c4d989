#pragma once

#include "control_command.h"

#include <string>
#include <variant>

namespace tamarack {

/** Result of applying a command, for its proposer. */
using control_effect = std::variant<ticket_answer, claim_answer, done>;

/**
 * The replicated state: tickets, claims, the assignment and the evacuation orders. Commands are applied in
 * log order, so the state is equal on every control host.
 */
class control_state {
public:
    explicit control_state(history_limits history = {}, ledger_limits ledger = {});

    /** Applies one command. */
    control_effect apply(const control_command& command);

    const ticket_register& tickets() const { return m_tickets; }
    const claim_ledger& claims() const { return m_claims; }
    const assignment& assigned() const { return m_assigned; }
    const evacuation_orders& evacuations() const { return m_evacuations; }

    /** @return the serialised state; equal states give equal text */
    std::string save() const;
    /** Replaces the state with one that was serialised by save; unchanged on an error. */
    outcome<done> restore(const std::string& saved);

private:
    /** Applies an assignment only if its epoch directly follows the one that it was planned from. */
    void apply(const assignment& planned);

    ticket_register m_tickets;
    claim_ledger m_claims;
    assignment m_assigned;
    evacuation_orders m_evacuations;
};

} // namespace tamarack
