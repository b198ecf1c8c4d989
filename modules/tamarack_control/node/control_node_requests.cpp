#include "control_node_implementation.h"

#include <utility>

namespace tamarack {

void control_node::implementation::on_request(time_point now, wall_time /*wall*/,
                                              const renew_lease& message) {
    if (!is_leader()) {
        redirect(message);
        return;
    }
    m_lease_manager->on_renewal(now, message);
    start_due_read(now);
}

void control_node::implementation::on_request(time_point /*now*/, wall_time /*wall*/,
                                              const release_lease& message) {
    if (is_leader()) {
        m_lease_manager->on_release(message);
    }
}

void control_node::implementation::on_request(time_point now, wall_time wall, const request_claim& message) {
    if (!is_leader()) {
        redirect(message.from, message.reply_to, message.operation);
        return;
    }
    if (m_proposals.holds(message.from, message.operation)) {
        return;
    }
    end_claim_of_lost_host(now, wall, message.wanted);
    propose(now, wall, message.wanted, claim_waiter{message.from, message.reply_to, message.operation});
}

void control_node::implementation::on_request(time_point now, wall_time wall, const report_result& message) {
    if (!is_leader()) {
        redirect(message.from, message.reply_to, message.operation);
        return;
    }
    if (m_proposals.holds(message.from, message.operation)) {
        return;
    }
    propose(now, wall, message.ended, result_waiter{message.from, message.reply_to, message.operation});
}

/**
 * Ends the open claim on a key if another attempt claims the key and the host of the open claim can't hold a
 * lease any more. That host won't report a result, so the result is proposed as unknown, ahead of the new
 * claim.
 */
void control_node::implementation::end_claim_of_lost_host(time_point now, wall_time wall,
                                                          const claim& wanted) {
    const auto open = m_state.claims().open_claim(wanted.service, wanted.key);
    if (!open || open->attempt == wanted.attempt ||
        m_lease_manager->table().may_hold(now, open->host, open->incarnation)) {
        return;
    }
    claim_result ended;
    ended.service = open->service;
    ended.key = open->key;
    ended.attempt = open->attempt;
    ended.result = run_result::unknown;
    propose(now, wall, std::move(ended), own_waiter{});
}

void control_node::implementation::propose(time_point now, wall_time wall, control_change change,
                                           proposal_waiter waiter) {
    const control_command command{wall, std::move(change)};
    raft_actions actions;
    const auto place = m_raft.propose(now, encode_command(command), actions);
    if (succeeded(place)) {
        m_proposals.add(value_of(place), std::move(waiter));
    } else {
        refuse(waiter, error_of(place));
    }
    carry_out(now, std::move(actions));
}

void control_node::implementation::refuse(const proposal_waiter& waiter, const error& reason) {
    if (const auto* operation = std::get_if<ticket_waiter>(&waiter)) {
        m_actions.emplace_back(answer_ticket{operation->operation, reason});
    } else if (const auto* ordered = std::get_if<order_waiter>(&waiter)) {
        m_actions.emplace_back(answer_order{ordered->operation, reason});
    } else if (const auto* asked = std::get_if<claim_waiter>(&waiter)) {
        redirect(asked->from, asked->reply_to, asked->operation);
    } else if (const auto* reported = std::get_if<result_waiter>(&waiter)) {
        redirect(reported->from, reported->reply_to, reported->operation);
    }
}

void control_node::implementation::refuse_renewals(const std::vector<renew_lease>& renewals) {
    for (const auto& renewal : renewals) {
        redirect(renewal);
    }
}

void control_node::implementation::grant(time_point now, const renew_lease& renewal) {
    const configuration& current = m_state.tickets().current();
    const assignment& assigned = m_state.assigned();
    lease_granted message;
    message.from = m_raft.self().host;
    message.grant = {renewal.renewal.number, current.number, assigned.epoch, m_settled_epoch};
    if (renewal.held_ticket < current.number) {
        message.newer_configuration = m_state.tickets().shared_current();
    }
    if (renewal.held_epoch < assigned.epoch) {
        message.assigned = assigned;
    }
    if (renewal.held_evacuations < m_state.evacuations().epoch) {
        message.evacuations = m_state.evacuations();
    }
    m_lease_manager->on_granted(now, renewal, message.grant);
    send(renewal.from, renewal.reply_to, std::move(message));
}

/**
 * Adds the latest accepted configuration to the redirect if the host's is older, so that a host that has just
 * started can apply it before it finds a leader.
 */
void control_node::implementation::redirect(const renew_lease& renewal) {
    leader_redirect message{m_raft.self().host, renewal.renewal.number, leader_host(), nullptr};
    const shared_configuration& accepted = m_state.tickets().shared_current();
    if (renewal.held_ticket < accepted->number) {
        message.known = accepted;
    }
    send(renewal.from, renewal.reply_to, std::move(message));
}

void control_node::implementation::redirect(const host_id& to, const endpoint& address,
                                            std::uint64_t operation) {
    send(to, address, leader_redirect{m_raft.self().host, operation, leader_host(), nullptr});
}

void control_node::implementation::send(const host_id& to, const endpoint& address, control_message message) {
    m_actions.emplace_back(send_control_message{to, address, std::move(message)});
}

} // namespace tamarack
