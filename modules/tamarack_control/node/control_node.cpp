#include "control_node.h"

#include "assignment_planner.h"
#include "control_node_implementation.h"

#include <algorithm>
#include <utility>

namespace tamarack {

control_node::implementation::implementation(member_id self, recovered_log recovered, control_options options,
                                             random_source random, time_point now)
    : m_options(options), m_raft(std::move(self), std::move(recovered), options.raft, random, now),
      m_state(options.history, options.ledger) {}

void control_node::implementation::start_due_read(time_point now) {
    if (!is_leader() || !m_lease_manager->read_is_due(now)) {
        return;
    }
    const std::uint64_t read = m_next_read++;
    m_lease_manager->on_read_started(read);
    carry_out(now, m_raft.confirm_read(now, read));
}

void control_node::implementation::plan_when_due(time_point now, wall_time wall) {
    if (!is_leader() || now < m_next_plan) {
        return;
    }
    m_next_plan = now + m_options.replan_interval;
    update_settled_epoch(now);
    m_lease_manager->remove_expired(now);
    if (!m_state_confirmed || m_proposals.holds_own()) {
        return;
    }
    if (auto planned = next_assignment(now, m_state, *m_lease_manager)) {
        propose(now, wall, std::move(*planned), own_waiter{});
    }
}

void control_node::implementation::update_settled_epoch(time_point now) {
    const std::uint64_t epoch = m_state.assigned().epoch;
    if (epoch > m_settled_epoch && m_state_confirmed &&
        m_lease_manager->table().epoch_state(now, epoch).in_force) {
        m_settled_epoch = epoch;
        announce();
    }
}

void control_node::implementation::end_operator_read(std::uint64_t read, const outcome<done>& answer) {
    const auto found = m_operator_reads.find(read);
    if (found != m_operator_reads.end()) {
        m_actions.emplace_back(answer_read{found->second, answer});
        m_operator_reads.erase(found);
    }
}

void control_node::implementation::announce() {
    const announce_update update{m_raft.self().host, m_state.tickets().current().number,
                                 m_state.assigned().epoch, m_settled_epoch, m_state.evacuations().epoch};
    for (const auto& [host, contact] : m_lease_manager->contacts()) {
        send(host, contact.address, update);
    }
}

host_id control_node::implementation::leader_host() const {
    const auto leader = m_raft.leader();
    return leader ? leader->host : host_id{};
}

control_changed control_node::implementation::summary() const {
    return {m_raft.role(),
            m_raft.term(),
            leader_host(),
            m_state.tickets().current().number,
            m_state.assigned().epoch,
            m_state.evacuations().epoch};
}

control_actions control_node::implementation::finish() {
    const control_changed current = summary();
    const bool new_state = current.latest != m_last_summary.latest || current.epoch != m_last_summary.epoch ||
                           current.evacuations != m_last_summary.evacuations;
    if (new_state && is_leader()) {
        announce();
    }
    if (current != m_last_summary) {
        m_last_summary = current;
        m_actions.emplace_back(current);
    }
    return std::exchange(m_actions, {});
}

control_node::control_node(member_id self, recovered_log recovered, control_options options,
                           random_source random, time_point now)
    : m_implementation(
          std::make_unique<implementation>(std::move(self), std::move(recovered), options, random, now)) {}

control_node::~control_node() = default;
control_node::control_node(control_node&&) noexcept = default;
control_node& control_node::operator=(control_node&&) noexcept = default;

control_actions control_node::start(time_point now) {
    m_implementation->carry_out(now, m_implementation->m_raft.start());
    return m_implementation->finish();
}

outcome<control_actions> control_node::bootstrap(time_point now, std::vector<member_id> voters) {
    auto begun = m_implementation->m_raft.bootstrap(now, std::move(voters));
    if (!succeeded(begun)) {
        return error_of(begun);
    }
    m_implementation->carry_out(now, value_of(std::move(begun)));
    return m_implementation->finish();
}

outcome<control_actions> control_node::change_voters(time_point now, std::vector<member_id> wanted) {
    raft_actions actions;
    const auto begun = m_implementation->m_raft.change_voters(now, std::move(wanted), actions);
    if (!succeeded(begun)) {
        return error_of(begun);
    }
    m_implementation->carry_out(now, std::move(actions));
    return m_implementation->finish();
}

control_actions control_node::on_raft_message(time_point now, const raft_envelope& envelope) {
    m_implementation->carry_out(now, m_implementation->m_raft.on_message(now, envelope));
    return m_implementation->finish();
}

control_actions control_node::on_control_message(time_point now, wall_time wall,
                                                 const control_message& message) {
    std::visit([&](const auto& content) { m_implementation->on_request(now, wall, content); }, message);
    return m_implementation->finish();
}

control_actions control_node::on_persisted(time_point now, std::uint64_t number) {
    m_implementation->carry_out(now, m_implementation->m_raft.on_persisted(now, number));
    return m_implementation->finish();
}

control_actions control_node::on_persist_failed(time_point now) {
    m_implementation->carry_out(now, m_implementation->m_raft.on_persist_failed(now));
    return m_implementation->finish();
}

control_actions control_node::on_timer(time_point now, wall_time wall) {
    m_implementation->carry_out(now, m_implementation->m_raft.on_timer(now));
    m_implementation->start_due_read(now);
    m_implementation->plan_when_due(now, wall);
    return m_implementation->finish();
}

control_actions control_node::submit_ticket(time_point now, wall_time wall, std::uint64_t operation,
                                            ticket candidate) {
    if (m_implementation->is_leader()) {
        m_implementation->propose(now, wall, std::move(candidate), ticket_waiter{operation});
        return m_implementation->finish();
    }
    const host_id leader = m_implementation->leader_host();
    const std::string hint = leader.empty() ? "no leader is known" : "ask " + leader.value();
    m_implementation->refuse(ticket_waiter{operation},
                             {error_code::not_leader, "this control host does not lead; " + hint});
    return m_implementation->finish();
}

control_actions control_node::submit_order(time_point now, wall_time wall, std::uint64_t operation,
                                           const evacuation_order& order) {
    const evacuation_orders& current = m_implementation->m_state.evacuations();
    const bool too_many = order.active && current.is_changed_by(order) &&
                          current.data_centers.size() >= max_evacuated_data_centers;
    if (!m_implementation->is_leader()) {
        m_implementation->refuse(order_waiter{operation},
                                 {error_code::not_leader, "this control host does not lead"});
    } else if (too_many) {
        m_implementation->refuse(order_waiter{operation},
                                 {error_code::invalid_argument, "too many data centers are evacuated"});
    } else {
        m_implementation->propose(now, wall, order, order_waiter{operation});
    }
    return m_implementation->finish();
}

control_actions control_node::read_latest(time_point now, std::uint64_t operation) {
    if (!m_implementation->is_leader()) {
        const error not_leader{error_code::not_leader, "this control host does not lead"};
        m_implementation->m_actions.emplace_back(answer_read{operation, not_leader});
        return m_implementation->finish();
    }
    const std::uint64_t read = m_implementation->m_next_read++;
    m_implementation->m_operator_reads[read] = operation;
    m_implementation->carry_out(now, m_implementation->m_raft.confirm_read(now, read));
    return m_implementation->finish();
}

control_actions control_node::transfer_leadership(time_point now) {
    m_implementation->carry_out(now, m_implementation->m_raft.transfer_leadership(now));
    return m_implementation->finish();
}

time_point control_node::next_timer() const {
    const time_point log_timer = m_implementation->m_raft.next_timer();
    if (!m_implementation->is_leader()) {
        return log_timer;
    }
    return std::min(
        {log_timer, m_implementation->m_lease_manager->next_timer(), m_implementation->m_next_plan});
}

std::optional<rollout_status> control_node::ticket_rollout(time_point now, ticket_number number) const {
    if (!m_implementation->is_leader()) {
        return std::nullopt;
    }
    if (number > m_implementation->m_state.tickets().current().number) {
        return rollout_status{false, {}, time_point::max()};
    }
    return m_implementation->m_lease_manager->table().ticket_state(now, number);
}

const control_state& control_node::state() const {
    return m_implementation->m_state;
}

control_report control_node::report(time_point now) const {
    const raft_node& log = m_implementation->m_raft;
    control_report report;
    report.role = log.role();
    report.term = log.term();
    report.leader = m_implementation->leader_host();
    report.members = log.members();
    report.committed = log.committed();
    report.last = log.last();
    report.may_vote = log.may_vote();
    report.latest = m_implementation->m_state.tickets().current().number;
    report.epoch = m_implementation->m_state.assigned().epoch;
    report.settled_epoch = m_implementation->m_settled_epoch;
    if (m_implementation->is_leader()) {
        report.holders = m_implementation->m_lease_manager->table().holders(now);
    }
    return report;
}

} // namespace tamarack
