#include "query_engine.h"

#include "admission.h"
#include "exchange_events.h"

namespace tamarack {

/** Holds the engine's parts and dispatches events to them. */
struct query_engine::implementation {
    engine_core core;
    dispatcher sender{core};
    answer_sender answers{core, sender};
    fan_out queries{core, sender, answers};
    at_most_once_flow at_most_once{core, sender, answers};
    admission admission_control{core, answers, queries, at_most_once};
    exchange_events exchanges{core, sender, queries, at_most_once};

    implementation(host_id self, incarnation_id incarnation, query_options options, random_source random)
        : core(std::move(self), incarnation, std::move(options), random) {}

    /** Handles one event, then starts and sends what the event made possible. */
    template <typename Handler>
    query_actions handle(time_point now, Handler handler) {
        core.now = std::max(core.now, now);
        core.out.clear();
        handler();
        process_pending();
        return std::move(core.out);
    }

    void process_pending() {
        while (!core.dirty_shards.empty() || !core.freed_services.empty() || !core.changed_contents.empty()) {
            sender.send_waiting();
            continue_waiting();
            admission_control.start_queued();
        }
        core.answered_runs.clear();
    }

    /** Continues requests that waited for the outcome of another request with the same content. */
    void continue_waiting() {
        while (!core.changed_contents.empty()) {
            const std::uint64_t content = core.changed_contents.back();
            core.changed_contents.pop_back();
            for (const request_number number : core.crashes.take_waiting(content)) {
                if (query_run* run = core.find_run(number)) {
                    queries.on_content_changed(*run);
                }
            }
        }
    }

    void on_view(const serving_view& view);
    void on_removed(const replica_pointer& removed);
    void on_request(caller_request request);
    void on_caller_gone(query_run& run);
    void on_timer(const timer& due);
    void on_run_timer(query_run& run);
    void on_target_timer(const replica_pointer& target);
};

void query_engine::implementation::on_view(const serving_view& view) {
    core.ticket = view.ticket;
    const view_changes changes = core.table.apply(core.now, view);
    for (const auto& removed : changes.removed) {
        on_removed(removed);
    }
    for (const auto& [id, service] : view.services) {
        for (const auto& listed : service.replicas) {
            const replica_pointer target = core.table.find_replica(listed.target);
            core.pool.trim(*target, core.out);
            sender.keep_warm(target);
        }
        service_state& state = *core.table.find(id);
        for (auto& [shard_name, shard] : state.shards) {
            core.mark_dirty(shard);
        }
        core.freed_services.push_back(&state);
    }
}

void query_engine::implementation::on_removed(const replica_pointer& removed) {
    core.quarantine(core.crashes.on_target_gone(core.now, removed->number));
    core.pool.trim(*removed, core.out);
}

void query_engine::implementation::on_request(caller_request request) {
    const request_number number = request.number;
    require_invariant(!core.runs.contains(number), "a request's number is used once");
    auto& run = core.runs[number];
    run = std::make_unique<query_run>();
    run->body = std::make_shared<const std::string>(std::move(request.body));
    run->request = std::move(request);
    run->service = core.table.find(run->request.service);
    run->arrived_at = core.now;
    run->answer_deadline = run->request.deadline - core.options.answer_margin;
    const std::uint64_t hash = stable_hash(*run->body, stable_hash(run->request.service.value()));
    run->content = {hash, run->request.service, run->body, {}};
    ++core.unanswered;
    admission_control.on_arrival(*run);
}

void query_engine::implementation::on_caller_gone(query_run& run) {
    run.caller_gone = true;
    if (run.runs_at_most_once() && run.started) {
        return;
    }
    if (!run.started) {
        admission::remove_from_queue(run);
    }
    answers.refuse(run, answer_sender::outcome_without_answer(run), refusal_reason::caller_gone);
}

void query_engine::implementation::on_timer(const timer& due) {
    switch (due.kind) {
    case timer_kind::run:
        if (query_run* run = core.find_run(due.number)) {
            on_run_timer(*run);
        }
        return;
    case timer_kind::target:
        if (const auto target = core.table.find_replica(due.number)) {
            on_target_timer(target);
        }
        return;
    case timer_kind::connection:
        exchanges.on_connection_timer(due.number);
        return;
    case timer_kind::slot:
        if (const auto target = core.table.find_replica(due.number)) {
            sender.free_slot(*target);
        }
        return;
    case timer_kind::lingering:
        if (const auto target = core.table.find_replica(due.number)) {
            connection_pool::release_lingering(*target);
            sender.keep_warm(target);
        }
        return;
    case timer_kind::losses:
        core.mark_changed(core.crashes.expire(core.now));
        return;
    }
}

void query_engine::implementation::on_run_timer(query_run& run) {
    if (core.now < run.wake_at) {
        return;
    }
    run.wake_at = time_point::max();
    if (!run.started) {
        if (core.now >= run.answer_deadline) {
            admission_control.on_queued_deadline(run);
        } else {
            core.wake(run, run.answer_deadline);
        }
    } else if (run.runs_at_most_once()) {
        at_most_once.on_wake(run);
    } else {
        queries.on_wake(run);
    }
}

void query_engine::implementation::on_target_timer(const replica_pointer& target) {
    sender.keep_warm(target);
    core.mark_dirty(*target);
}

query_engine::query_engine(host_id self, incarnation_id incarnation, query_options options,
                           random_source random)
    : m_implementation(
          std::make_unique<implementation>(std::move(self), incarnation, std::move(options), random)) {}

query_engine::~query_engine() = default;
query_engine::query_engine(query_engine&&) noexcept = default;
query_engine& query_engine::operator=(query_engine&&) noexcept = default;

query_actions query_engine::on_view(time_point now, serving_view_pointer view) {
    return m_implementation->handle(now, [&] { m_implementation->on_view(*view); });
}

query_actions query_engine::on_lease(time_point now, time_point ends_at) {
    return m_implementation->handle(now, [&] { m_implementation->core.lease_ends = ends_at; });
}

query_actions query_engine::on_draining(time_point now) {
    return m_implementation->handle(now, [&] { m_implementation->core.draining = true; });
}

query_actions query_engine::on_request(time_point now, caller_request request) {
    return m_implementation->handle(now, [&] { m_implementation->on_request(std::move(request)); });
}

query_actions query_engine::on_caller_gone(time_point now, request_number request) {
    return m_implementation->handle(now, [&] {
        query_run* run = m_implementation->core.find_run(request);
        if (run != nullptr && !run->answered) {
            m_implementation->on_caller_gone(*run);
        }
    });
}

query_actions query_engine::on_connected(time_point now, connection_number connection) {
    return m_implementation->handle(now, [&] { m_implementation->exchanges.on_connected(connection); });
}

query_actions query_engine::on_connection_live(time_point now, connection_number connection) {
    return m_implementation->handle(now, [&] { m_implementation->exchanges.on_live(connection); });
}

query_actions query_engine::on_connection_lost(time_point now, connection_number connection) {
    return m_implementation->handle(now, [&] { m_implementation->exchanges.on_lost(connection); });
}

query_actions query_engine::on_reply(time_point now, connection_number connection, exchange_reply reply) {
    return m_implementation->handle(
        now, [&] { m_implementation->exchanges.on_reply(connection, std::move(reply)); });
}

query_actions query_engine::on_claim_answer(time_point now, request_number request,
                                            const claim_answer& answer) {
    return m_implementation->handle(now, [&] {
        if (query_run* run = m_implementation->core.find_run(request)) {
            m_implementation->at_most_once.on_claim_answer(*run, answer);
        }
    });
}

query_actions query_engine::on_claim_failed(time_point now, request_number request) {
    return m_implementation->handle(now, [&] {
        if (query_run* run = m_implementation->core.find_run(request)) {
            m_implementation->at_most_once.on_claim_failed(*run);
        }
    });
}

query_actions query_engine::on_crash_suspicion(time_point now, const broadcast_crash_suspicion& suspicion) {
    return m_implementation->handle(now, [&] { m_implementation->exchanges.on_crash_suspicion(suspicion); });
}

query_actions query_engine::on_quarantine(time_point now, const digest& request) {
    return m_implementation->handle(
        now, [&] { m_implementation->core.quarantined.add(m_implementation->core.now, request); });
}

query_actions query_engine::on_timer(time_point now) {
    return m_implementation->handle(now, [&] {
        while (const auto due = m_implementation->core.timers.take_due(m_implementation->core.now)) {
            m_implementation->on_timer(*due);
        }
    });
}

time_point query_engine::next_timer() const {
    return m_implementation->core.timers.next();
}

std::size_t query_engine::unanswered() const {
    return m_implementation->core.unanswered;
}

query_statistics query_engine::statistics() const {
    query_statistics counted = m_implementation->core.counted;
    counted.quarantined = m_implementation->core.quarantined.size();
    m_implementation->core.table.add_counts(counted);
    return counted;
}

} // namespace tamarack
