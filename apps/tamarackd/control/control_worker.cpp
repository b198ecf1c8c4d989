#include "control_worker.h"

#include "../process_memory.h"
#include "../system_random.h"
#include "recovery.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 8'192;
/** At the platform edge each ticket holds a whole configuration of up to a few hundred KiB, and disks are
 * small, so only this many ticket texts are retained. */
constexpr std::size_t texts_of_whole_configurations = 2;
/** Maximum number of log entries that a restarted host replays; each may hold a whole configuration. */
constexpr std::uint64_t entries_between_snapshots = 8;
/** Interval between attempts to store a change. A full disk can have room again within seconds. */
constexpr duration store_retry_interval = 100ms;

control_options options_of(const settings& host_settings) {
    control_options options;
    options.raft.heartbeat = host_settings.times.heartbeat;
    options.raft.election_timeout = host_settings.times.election_timeout;
    options.leases.length = host_settings.times.lease_length;
    options.leases.renewal = host_settings.times.lease_renewal;
    if (host_settings.edge.kind == edge_kind::platform) {
        options.history.texts = texts_of_whole_configurations;
        options.min_entries_per_snapshot = entries_between_snapshots;
    }
    return options;
}

} // namespace

control_worker::control_worker(const settings& host_settings, const opened_folder& folder,
                               std::unique_ptr<journal> opened, recovered_log log, metric_registry& metrics,
                               control_hooks hooks)
    : m_self{folder.identity.host, folder.identity.incarnation}, m_journal(std::move(opened)),
      m_metrics(metrics), m_hooks(std::move(hooks)), m_thread("control", ring_capacity),
      m_storage("storage", ring_capacity),
      m_node(m_self, std::move(log), options_of(host_settings), system_random(), steady_now()),
      m_timer(
          m_thread, [this] { return m_node.next_timer(); },
          [this](time_point now) { carry_out(m_node.on_timer(now, wall_now())); }) {
    m_voter_options.tolerated_losses = host_settings.formation.tolerated_losses;
}

void control_worker::start() {
    m_storage.start();
    m_thread.start();
    m_thread.try_post([this] { carry_out(m_node.start(steady_now())); });
}

void control_worker::stop() {
    m_thread.stop();
    m_storage.stop();
}

bool control_worker::post_raft(raft_envelope envelope) {
    return m_thread.try_post([this, envelope = std::move(envelope)] {
        carry_out(m_node.on_raft_message(steady_now(), envelope));
    });
}

bool control_worker::post_control(control_message message) {
    return m_thread.try_post([this, message = std::move(message)] {
        carry_out(m_node.on_control_message(steady_now(), wall_now(), message));
    });
}

bool control_worker::post_bootstrap(std::vector<member_id> voters,
                                    std::function<void(outcome<done>)> answer) {
    return m_thread.try_post([this, voters = std::move(voters), answer = std::move(answer)] {
        auto actions = m_node.bootstrap(steady_now(), voters);
        if (!succeeded(actions)) {
            answer(error_of(actions));
            return;
        }
        carry_out(value_of(std::move(actions)));
        answer(done{});
    });
}

bool control_worker::post_change_voters(std::vector<member_id> voters,
                                        std::function<void(outcome<done>)> answer) {
    return m_thread.try_post([this, voters = std::move(voters), answer = std::move(answer)] {
        auto actions = m_node.change_voters(steady_now(), voters);
        if (!succeeded(actions)) {
            answer(error_of(actions));
            return;
        }
        carry_out(value_of(std::move(actions)));
        answer(done{});
    });
}

bool control_worker::post_ticket(ticket candidate,
                                 std::function<void(outcome<ticket_answer>, host_id)> answer) {
    return m_thread.try_post([this, candidate = std::move(candidate), answer = std::move(answer)]() mutable {
        const std::uint64_t operation = m_next_operation++;
        m_operations[operation] = answer;
        carry_out(m_node.submit_ticket(steady_now(), wall_now(), operation, std::move(candidate)));
    });
}

bool control_worker::post_order(const evacuation_order& order,
                                std::function<void(outcome<done>, host_id)> answer) {
    return m_thread.try_post([this, order, answer = std::move(answer)] {
        const std::uint64_t operation = m_next_operation++;
        m_orders[operation] = answer;
        carry_out(m_node.submit_order(steady_now(), wall_now(), operation, order));
    });
}

bool control_worker::post_overview(std::function<void(control_overview)> answer) {
    return m_thread.try_post([this, answer = std::move(answer)] { answer(overview()); });
}

bool control_worker::post_read_latest(std::function<void(outcome<shared_configuration>, host_id)> answer) {
    return m_thread.try_post([this, answer = std::move(answer)] {
        const std::uint64_t operation = m_next_operation++;
        m_reads[operation] = answer;
        carry_out(m_node.read_latest(steady_now(), operation));
    });
}

bool control_worker::post_voter_candidates(std::vector<voter_candidate> candidates) {
    return m_thread.try_post([this, candidates = std::move(candidates)] {
        const control_report report = m_node.report(steady_now());
        if (report.role != raft_role::leader) {
            return;
        }
        auto voters = plan_voters(report.members, candidates, m_voter_options);
        if (!voters) {
            return;
        }
        std::string names;
        for (const member_id& voter : *voters) {
            names += (names.empty() ? "" : ",") + voter.host.value();
        }
        auto actions = m_node.change_voters(steady_now(), std::move(*voters));
        log_state_change(log_level::info, "voters_wanted", m_last.latest,
                         {{"voters", names},
                          {"result", succeeded(actions) ? std::string{"begun"} : error_of(actions).message}});
        if (succeeded(actions)) {
            carry_out(value_of(std::move(actions)));
        }
    });
}

bool control_worker::post_transfer_leadership() {
    return m_thread.try_post([this] { carry_out(m_node.transfer_leadership(steady_now())); });
}

control_overview control_worker::overview() const {
    control_overview result;
    const ticket_register& tickets = m_node.state().tickets();
    result.report = m_node.report(steady_now());
    result.current = tickets.shared_current();
    result.history.assign(tickets.history().begin(), tickets.history().end());
    result.force = m_node.ticket_rollout(steady_now(), tickets.current().number);
    return result;
}

/** Logs a batch of messages that hold the configuration, before they are passed on. */
void control_worker::log_sent_configurations(const control_actions& actions) const {
    const auto receivers = std::count_if(actions.begin(), actions.end(), [](const control_action& action) {
        const auto* send = std::get_if<send_control_message>(&action);
        return send != nullptr && configuration_of(send->message) != nullptr;
    });
    if (receivers > 1) {
        log_configuration_step("sent_in_batch", m_node.state().tickets().current().number,
                               {"receivers", std::to_string(receivers)});
    }
}

void control_worker::carry_out(control_actions actions) {
    log_sent_configurations(actions);
    for (control_action& action : actions) {
        std::visit(overloaded{
                       [this](send_raft_message& send) { m_hooks.send_raft(std::move(send.envelope)); },
                       [this](send_control_message& send) { m_hooks.send_control(std::move(send)); },
                       [this](store_change& store) { carry_out(std::move(store)); },
                       [this](const answer_ticket& answer) { carry_out(answer); },
                       [this](const answer_order& answer) { carry_out(answer); },
                       [this](const answer_read& answer) { carry_out(answer); },
                       [this](const control_changed& changed) { carry_out(changed); },
                   },
                   action);
    }
    m_timer.rearm();
}

void control_worker::carry_out(store_change&& action) {
    const auto change = std::make_shared<const persist_change>(std::move(action.change));
    const bool posted = m_storage.try_post([this, change] { store(change); });
    require_invariant(posted,
                      "the storage thread's queue has room, because pending proposals bound the changes");
}

void control_worker::store(const std::shared_ptr<const persist_change>& change) {
    const time_point before = steady_now();
    auto stored = m_journal->store(to_journal_write(*change));
    m_metrics.observe(histogram_id::sync_duration_seconds, steady_now() - before);
    if (const auto& failure = m_journal->cleanup_failure()) {
        log_state_change(log_level::warning, "journal_files_left", {}, {{"reason", failure->message}});
    }
    if (!succeeded(stored)) {
        m_storage.run_at(steady_now() + store_retry_interval, [this, change] { store(change); });
    }
    const bool posted = m_thread.try_post(
        [this, number = change->number, stored = std::move(stored)] { on_stored(number, stored); });
    require_invariant(posted, "the control worker's queue has room for the results of stored changes");
}

void control_worker::on_stored(std::uint64_t change, const outcome<done>& stored) {
    if (!succeeded(stored)) {
        if (!m_journal_failed_at) {
            m_journal_failed_at = steady_now();
            log_state_change(log_level::error, "journal_failed", m_last.latest,
                             {{"reason", error_of(stored).message}});
        }
        carry_out(m_node.on_persist_failed(steady_now()));
        return;
    }
    if (m_journal_failed_at) {
        const auto failing_for = (steady_now() - *m_journal_failed_at) / 1ms;
        m_journal_failed_at.reset();
        log_state_change(log_level::info, "journal_restored", m_last.latest,
                         {{"failing_for_ms", std::to_string(failing_for)}});
    }
    carry_out(m_node.on_persisted(steady_now(), change));
}

void control_worker::carry_out(const answer_ticket& action) {
    const auto found = m_operations.find(action.operation);
    if (found == m_operations.end()) {
        return;
    }
    const ticket_answerer answer = std::move(found->second);
    m_operations.erase(found);
    if (succeeded(action.answer)) {
        m_metrics.count(counter_id::tickets_total, to_name(value_of(action.answer).verdict));
    }
    answer(action.answer, m_node.report(steady_now()).leader);
}

void control_worker::carry_out(const answer_order& action) {
    const auto found = m_orders.extract(action.operation);
    if (!found.empty()) {
        found.mapped()(action.answer, m_node.report(steady_now()).leader);
    }
}

void control_worker::carry_out(const answer_read& action) {
    const auto found = m_reads.find(action.operation);
    if (found == m_reads.end()) {
        return;
    }
    const auto answer = std::move(found->second);
    m_reads.erase(found);
    const host_id leader = m_node.report(steady_now()).leader;
    if (succeeded(action.answer)) {
        answer(m_node.state().tickets().shared_current(), leader);
    } else {
        answer(error_of(action.answer), leader);
    }
}

void control_worker::carry_out(const control_changed& action) {
    m_metrics.set(gauge_id::is_leader, action.role == raft_role::leader ? 1.0 : 0.0);
    if (action.latest != m_last.latest) {
        m_hooks.committed(m_node.state().tickets().shared_current());
        log_state_change(log_level::info, "ticket_accepted", action.latest, {});
        log_configuration_step("accepted", action.latest, {"role", std::string{to_name(action.role)}});
    }
    if (action.role != m_last.role || action.leader != m_last.leader) {
        log_state_change(log_level::info, "role_changed", action.latest,
                         {{"role", std::string{to_name(action.role)}},
                          {"term", std::to_string(action.term)},
                          {"leader", action.leader.value()}});
    }
    m_last = action;
}

} // namespace tamarack
