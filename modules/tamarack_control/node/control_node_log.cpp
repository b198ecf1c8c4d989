#include "control_node_implementation.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/**
 * Number of tickets in the history that together count as one item of the state: of most of them, only the
 * number and the digest are saved.
 */
constexpr std::uint64_t tickets_per_item = 8;

} // namespace

void control_node::implementation::carry_out(time_point now, raft_actions actions) {
    for (auto& action : actions) {
        m_queue.push_back(std::move(action));
    }
    if (m_carrying_out) {
        return;
    }
    m_carrying_out = true;
    while (!m_queue.empty()) {
        raft_action action = std::move(m_queue.front());
        m_queue.pop_front();
        carry_out_one(now, action);
    }
    m_carrying_out = false;
}

void control_node::implementation::carry_out_one(time_point now, raft_action& action) {
    if (auto* message = std::get_if<send_message>(&action)) {
        m_actions.emplace_back(send_raft_message{std::move(message->envelope)});
    } else if (auto* change = std::get_if<persist_change>(&action)) {
        m_actions.emplace_back(store_change{std::move(*change)});
    } else if (const auto* entries = std::get_if<apply_entries>(&action)) {
        on_apply(now, *entries);
    } else if (const auto* snapshot = std::get_if<restore_snapshot>(&action)) {
        on_restore(*snapshot);
    } else if (const auto* confirmed = std::get_if<read_confirmed>(&action)) {
        on_read_confirmed(now, *confirmed);
    } else if (const auto* refused = std::get_if<read_refused>(&action)) {
        on_read_refused(*refused);
    } else if (const auto* role = std::get_if<role_changed>(&action)) {
        on_role_changed(now, *role);
    }
}

void control_node::implementation::on_apply(time_point now, const apply_entries& action) {
    for (const auto& entry : action.entries) {
        require_invariant(entry.index > m_applied, "entries are applied in order, each once");
        m_applied = entry.index;
        ++m_applied_since_snapshot;
        if (entry.kind == entry_kind::command) {
            apply_command(entry);
        } else if (const auto superseded_waiter = m_proposals.take(entry)) {
            settle(*superseded_waiter, done{});
        }
    }
    const std::uint64_t state_items =
        m_state.claims().size() + m_state.tickets().history().size() / tickets_per_item;
    if (m_applied_since_snapshot >= std::max(m_options.min_entries_per_snapshot, state_items)) {
        offer_snapshot(now);
    }
}

void control_node::implementation::apply_command(const log_entry& entry) {
    const auto command = decode_command(entry.content);
    require_invariant(succeeded(command), "a committed command can be decoded");
    const ticket_number latest = m_state.tickets().current().number;
    const control_effect effect = m_state.apply(value_of(command));
    require_invariant(m_state.tickets().current().number >= latest,
                      "the number of the latest ticket never decreases");
    if (const auto settled = m_proposals.take(entry)) {
        settle(*settled, effect);
    }
}

void control_node::implementation::settle(const settled_proposal& settled, const control_effect& effect) {
    if (!settled.is_own_entry) {
        refuse(settled.waiter, {error_code::unavailable, "the request was not committed; send it again"});
        return;
    }
    if (const auto* waiter = std::get_if<ticket_waiter>(&settled.waiter)) {
        m_actions.emplace_back(answer_ticket{waiter->operation, std::get<ticket_answer>(effect)});
    } else if (const auto* ordered = std::get_if<order_waiter>(&settled.waiter)) {
        m_actions.emplace_back(answer_order{ordered->operation, done{}});
    } else if (const auto* asked = std::get_if<claim_waiter>(&settled.waiter)) {
        send(asked->from, asked->reply_to,
             claim_decided{m_raft.self().host, asked->operation, std::get<claim_answer>(effect)});
    } else if (const auto* reported = std::get_if<result_waiter>(&settled.waiter)) {
        send(reported->from, reported->reply_to, result_recorded{m_raft.self().host, reported->operation});
    }
}

void control_node::implementation::offer_snapshot(time_point now) {
    m_applied_since_snapshot = 0;
    carry_out(now, m_raft.on_snapshot(now, m_applied, m_state.save()));
}

void control_node::implementation::on_restore(const restore_snapshot& action) {
    m_applied = action.snapshot.last.index;
    m_applied_since_snapshot = 0;
    if (action.snapshot.state.empty()) {
        return;
    }
    const auto restored = m_state.restore(action.snapshot.state);
    require_invariant(succeeded(restored), "a snapshot of the state can be restored");
}

void control_node::implementation::on_read_confirmed(time_point now, const read_confirmed& action) {
    if (!is_leader()) {
        return;
    }
    require_invariant(action.index <= m_applied, "a confirmed read's index has been applied");
    end_operator_read(action.read, done{});
    if (!m_state_confirmed) {
        m_state_confirmed = true;
        if (m_state.tickets().current().number.value == 0) {
            m_lease_manager->table().skip_predecessor_wait();
        }
    }
    for (const auto& renewal : m_lease_manager->on_read_confirmed(action.read)) {
        grant(now, renewal);
    }
    start_due_read(now);
}

void control_node::implementation::on_read_refused(const read_refused& action) {
    end_operator_read(action.read, error{error_code::unavailable, "leadership was lost"});
    if (is_leader()) {
        refuse_renewals(m_lease_manager->on_read_confirmed(action.read));
    }
}

void control_node::implementation::on_role_changed(time_point now, const role_changed& action) {
    if (is_leader() && action.role == raft_role::leader && action.term == m_leading_term) {
        return;
    }
    if (m_lease_manager) {
        refuse_renewals(m_lease_manager->remove_all());
    }
    m_lease_manager.reset();
    m_state_confirmed = false;
    m_settled_epoch = 0;
    while (!m_operator_reads.empty()) {
        end_operator_read(m_operator_reads.begin()->first,
                          error{error_code::unavailable, "leadership was lost"});
    }
    const error lost{error_code::unavailable,
                     "leadership was lost; the request may still be accepted: send it again to find out"};
    for (const auto& waiter : m_proposals.remove_all()) {
        refuse(waiter, lost);
    }
    if (action.role == raft_role::leader) {
        m_lease_manager.emplace(m_options, now);
        m_leading_term = action.term;
        m_next_plan = now;
    }
}

} // namespace tamarack
