#include "raft_node.h"

#include "raft_implementation.h"

#include <algorithm>
#include <utility>

namespace tamarack {

raft_node::implementation::implementation(member_id self, recovered_log recovered, raft_options options,
                                          random_source random, time_point now)
    : m_self(std::move(self)), m_options(options), m_random(random), m_now(now),
      m_vote(std::move(recovered.vote)), m_log(std::move(recovered.snapshot), recovered.entries),
      m_may_vote(recovered.may_vote), m_fresh(recovered.fresh), m_committed(m_log.snapshot()->last.index) {
    m_durable = m_log.last().index;
    m_unsaved_from = m_durable + 1;
    if (!recovered.entries.empty() && recovered.entries.back().index > m_durable) {
        m_truncate_from = m_durable + 1;
    }
    m_last_leader_contact = now - m_options.election_timeout;
    reset_election_timer();
    refresh_role();
}

void raft_node::implementation::dispatch(const raft_envelope& envelope) {
    if (m_storage_failed || envelope.to.host != m_self.host) {
        return;
    }
    const member_id& from = envelope.from;
    m_replaced.erase(from);
    const bool other_incarnation =
        envelope.to.incarnation.value != 0 && envelope.to.incarnation != m_self.incarnation;
    if (m_options.protections.incarnation_check && (other_incarnation || !allowed_to_vote())) {
        m_has_seen_history = true;
        if (!std::holds_alternative<join_request>(envelope.message)) {
            send_join_request(from);
        }
        return;
    }
    struct visitor {
        implementation& node;
        const member_id& from;
        void operator()(const vote_request& request) const { node.on_vote_request(from, request); }
        void operator()(const vote_reply& reply) const { node.on_vote_reply(from, reply); }
        void operator()(const append_request& request) const { node.on_append_request(from, request); }
        void operator()(const append_reply& reply) const { node.on_append_reply(from, reply); }
        void operator()(const snapshot_request& request) const { node.on_snapshot_request(from, request); }
        void operator()(const snapshot_reply& reply) const { node.on_snapshot_reply(from, reply); }
        void operator()(const join_request& request) const { node.on_join_request(from, request); }
        void operator()(const election_request& request) const { node.on_election_request(from, request); }
    };
    std::visit(visitor{*this, from}, envelope.message);
}

raft_actions raft_node::implementation::finish() {
    flush();
    const role_changed present{m_role, m_vote.term, m_leader};
    const bool changed = present.role != m_reported.role || present.term != m_reported.term ||
                         present.leader != m_reported.leader;
    if (changed) {
        m_reported = present;
        m_actions.emplace_back(present);
    }
    return std::exchange(m_actions, {});
}

raft_node::raft_node(member_id self, recovered_log recovered, raft_options options, random_source random,
                     time_point now)
    : m_implementation(
          std::make_unique<implementation>(std::move(self), std::move(recovered), options, random, now)) {}

raft_node::~raft_node() = default;
raft_node::raft_node(raft_node&&) noexcept = default;
raft_node& raft_node::operator=(raft_node&&) noexcept = default;

raft_actions raft_node::start() {
    implementation& node = *m_implementation;
    if (node.m_log.snapshot()->last.index > 0) {
        node.m_actions.emplace_back(restore_snapshot{*node.m_log.snapshot()});
    }
    return node.finish();
}

outcome<raft_actions> raft_node::bootstrap(time_point now, std::vector<member_id> voters) {
    m_implementation->m_now = now;
    if (const auto formed = m_implementation->bootstrap(std::move(voters)); !succeeded(formed)) {
        return error_of(formed);
    }
    return m_implementation->finish();
}

raft_actions raft_node::on_message(time_point now, const raft_envelope& envelope) {
    m_implementation->m_now = now;
    m_implementation->dispatch(envelope);
    return m_implementation->finish();
}

raft_actions raft_node::on_timer(time_point now) {
    implementation& node = *m_implementation;
    node.m_now = now;
    if (node.m_storage_failed) {
        return {};
    }
    if (node.m_role == raft_role::leader) {
        if (now >= node.m_heartbeat_deadline) {
            node.on_heartbeat_timer();
        }
    } else if (now >= node.m_election_deadline) {
        node.on_election_timeout();
    } else if (node.m_campaign && now >= node.m_campaign->retry_at) {
        node.ask_for_votes();
    }
    return node.finish();
}

raft_actions raft_node::on_persisted(time_point now, std::uint64_t number) {
    m_implementation->m_now = now;
    m_implementation->on_persisted(number);
    return m_implementation->finish();
}

raft_actions raft_node::on_persist_failed(time_point now) {
    m_implementation->m_now = now;
    m_implementation->on_persist_failed();
    return m_implementation->finish();
}

outcome<proposal_position> raft_node::propose(time_point now, std::string content, raft_actions& actions) {
    implementation& node = *m_implementation;
    node.m_now = now;
    if (node.m_role != raft_role::leader || node.m_successor) {
        return error{error_code::not_leader, "this member doesn't lead the log"};
    }
    if (node.m_log.last().index - node.m_committed >= node.m_options.max_uncommitted_proposals) {
        return error{error_code::overloaded, "too many proposals wait for a majority"};
    }
    const log_index index = node.append({0, 0, entry_kind::command, std::move(content), {}});
    node.broadcast();
    std::ranges::move(node.finish(), std::back_inserter(actions));
    return proposal_position{node.m_vote.term, index};
}

outcome<done> raft_node::change_voters(time_point now, std::vector<member_id> wanted, raft_actions& actions) {
    m_implementation->m_now = now;
    auto begun = m_implementation->change_voters(std::move(wanted));
    std::ranges::move(m_implementation->finish(), std::back_inserter(actions));
    return begun;
}

raft_actions raft_node::confirm_read(time_point now, std::uint64_t read) {
    m_implementation->m_now = now;
    m_implementation->confirm_read(read);
    return m_implementation->finish();
}

raft_actions raft_node::on_snapshot(time_point now, log_index applied, std::string state) {
    m_implementation->m_now = now;
    m_implementation->on_snapshot(applied, std::move(state));
    return m_implementation->finish();
}

raft_actions raft_node::transfer_leadership(time_point now) {
    m_implementation->m_now = now;
    m_implementation->transfer_leadership();
    return m_implementation->finish();
}

time_point raft_node::next_timer() const {
    const implementation& node = *m_implementation;
    if (node.m_storage_failed) {
        return time_point::max();
    }
    if (node.m_role == raft_role::leader) {
        return node.m_heartbeat_deadline;
    }
    return node.m_campaign ? std::min(node.m_election_deadline, node.m_campaign->retry_at)
                           : node.m_election_deadline;
}

raft_role raft_node::role() const {
    return m_implementation->m_role;
}

log_term raft_node::term() const {
    return m_implementation->m_vote.term;
}

std::optional<member_id> raft_node::leader() const {
    return m_implementation->m_leader;
}

const log_members& raft_node::members() const {
    return m_implementation->m_log.members();
}

const member_id& raft_node::self() const {
    return m_implementation->m_self;
}

log_index raft_node::committed() const {
    return m_implementation->m_committed;
}

log_position raft_node::last() const {
    return m_implementation->m_log.last();
}

bool raft_node::may_vote() const {
    return m_implementation->allowed_to_vote() && m_implementation->is_voter(m_implementation->m_self);
}

std::vector<member_id> raft_node::excluded_voters() const {
    return m_implementation->excluded_voters();
}

std::vector<member_id> raft_node::replaced_voters() const {
    return m_implementation->replaced_voters();
}

bool raft_node::quorum_lost() const {
    return m_implementation->quorum_lost();
}

} // namespace tamarack
