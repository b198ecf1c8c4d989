#include "exchange_events.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr duration version_lost_duration = 10s;
constexpr duration min_shed = 20ms;
constexpr duration max_shed = 2s;

} // namespace

void exchange_events::on_connected(connection_number number) {
    connection* opened = m_core.pool.find(number);
    if (opened == nullptr || opened->state != connection_state::dialing) {
        return;
    }
    opened->target->dial_backoff = {};
    const replica_pointer target = opened->target;
    m_core.pool.on_opened(*opened, m_core.now);
    m_core.pool.trim(*target, m_core.out);
    m_core.mark_dirty(*target);
}

void exchange_events::on_live(connection_number number) {
    connection* proven = m_core.pool.find(number);
    if (proven == nullptr || proven->state != connection_state::probing) {
        return;
    }
    proven->last_received_at = m_core.now;
    if (proven->request_after_probe == 0) {
        const replica_pointer target = proven->target;
        m_core.pool.release(*proven);
        m_core.pool.trim(*target, m_core.out);
        m_core.mark_dirty(*target);
        return;
    }
    query_run* run = m_core.find_run(proven->request_after_probe);
    require_invariant(run != nullptr, "a request is kept while a connection is probed for it");
    m_at_most_once_flow.on_live(*run, *proven);
}

void exchange_events::on_lost(connection_number number) {
    if (m_core.pool.find(number) == nullptr) {
        return;
    }
    const connection gone = m_core.pool.forget(number);
    switch (gone.state) {
    case connection_state::dialing:
        m_core.quarantine(m_core.crashes.on_target_gone(m_core.now, gone.target->number));
        m_dispatcher.on_dial_failed(gone.target);
        return;
    case connection_state::idle:
        m_dispatcher.on_dial_failed(gone.target);
        return;
    case connection_state::probing:
        on_probe_failed(gone);
        return;
    case connection_state::abandoned:
    case connection_state::busy:
        on_broken(gone);
        return;
    }
}

void exchange_events::on_probe_failed(const connection& gone) {
    count_lingering(*gone.target);
    m_dispatcher.keep_warm(gone.target);
    if (gone.request_after_probe != 0) {
        m_dispatcher.free_slot(*gone.target);
        m_at_most_once_flow.on_probe_lost(*m_core.find_run(gone.request_after_probe));
    }
}

void exchange_events::on_broken(const connection& gone) {
    m_dispatcher.hold_slot(*gone.target, gone.carried);
    m_dispatcher.on_dial_failed(gone.target);
    gone.target->observed.on_failure(m_core.now);
    query_run* run = m_core.find_run(gone.carried.request);
    record_loss(gone, run);
    if (gone.state == connection_state::abandoned) {
        return;
    }
    if (run == nullptr || !remove_attempt(*run, gone.carried)) {
        return;
    }
    ++run->connections_lost;
    if (run->runs_at_most_once()) {
        m_at_most_once_flow.on_lost(*run);
        return;
    }
    run->shards[gone.carried.shard_index].tried.push_back(gone.target->number);
    m_fan_out.on_failed(*run, gone.carried.shard_index, missing_reason::failed);
}

void exchange_events::record_loss(const connection& gone, query_run* run) {
    const bool content_proven =
        !gone.carried.content_unproven || m_core.completed.contains(gone.carried.content.hash);
    if (!m_core.options.protections.quarantine || content_proven) {
        return;
    }
    m_core.crashes.on_lost(m_core.now, gone.carried.content, gone.target->number);
    m_core.timers.add(m_core.now + crash_detector::loss_retention, timer_kind::losses, 0);
    const request_content& content = gone.carried.content;
    m_core.out.emplace_back(broadcast_crash_suspicion{gone.carried.request, content.service, content.hash,
                                                      content.quarantine_key(), gone.target->view.target});
    if (run != nullptr) {
        m_core.end_exposure(*run);
    }
}

void exchange_events::on_crash_suspicion(const broadcast_crash_suspicion& suspicion) {
    if (!m_core.options.protections.quarantine || m_core.completed.contains(suspicion.content_hash)) {
        return;
    }
    const auto target = m_core.table.find_replica(suspicion.target);
    const std::uint64_t number = target ? target->number : stable_hash(suspicion.target.value());
    const request_content content{suspicion.content_hash, suspicion.service, nullptr,
                                  suspicion.content_digest};
    m_core.crashes.on_lost(m_core.now, content, number);
    m_core.timers.add(m_core.now + crash_detector::loss_retention, timer_kind::losses, 0);
    m_core.changed_contents.push_back(suspicion.content_hash);
    if (!target) {
        m_core.quarantine(m_core.crashes.on_target_gone(m_core.now, number));
    }
}

void exchange_events::on_reply(connection_number number, exchange_reply reply) {
    connection* used = m_core.pool.find(number);
    if (used == nullptr) {
        return;
    }
    if (is_matching_reply(*used, reply)) {
        on_matching_reply(*used, std::move(reply));
    } else {
        on_mismatched_reply(*used);
    }
}

bool exchange_events::is_matching_reply(const connection& used, const exchange_reply& reply) const {
    const bool carries = used.state == connection_state::busy || used.state == connection_state::abandoned;
    if (!carries || reply.status == exchange_status::malformed) {
        return false;
    }
    if (m_core.options.protections.check_reply_number && reply.number != used.carried.number) {
        return false;
    }
    if (reply.status != exchange_status::completed) {
        return true;
    }
    const bool same_version = reply.version == used.carried.version;
    return reply.shard == used.carried.shard &&
           (same_version || !m_core.options.protections.check_reply_version);
}

void exchange_events::on_matching_reply(connection& used, exchange_reply reply) {
    const carried_exchange carried = used.carried;
    const replica_pointer target = used.target;
    used.last_received_at = m_core.now;
    target->replied_at = m_core.now;
    if (m_core.crashes.has_losses()) {
        m_core.mark_changed(m_core.crashes.on_target_alive(target->number));
    }
    if (reply.ends_connection) {
        m_core.pool.close(used.number, m_core.out);
        m_dispatcher.keep_warm(target);
    } else {
        m_core.pool.release(used);
        m_core.pool.trim(*target, m_core.out);
    }
    m_dispatcher.free_slot(*target);
    record_reply(*target, carried, reply);
    end_attempt(carried, target->number, std::move(reply));
}

void exchange_events::on_mismatched_reply(connection& used) {
    const carried_exchange carried = used.carried;
    const connection_state state = used.state;
    const replica_pointer target = used.target;
    const request_number request_after_probe = used.request_after_probe;
    target->observed.on_failure(m_core.now);
    if (state == connection_state::busy || state == connection_state::abandoned) {
        m_dispatcher.close_without_reply(used);
    } else {
        m_core.pool.close(used.number, m_core.out);
    }
    if (state == connection_state::probing && request_after_probe != 0) {
        m_dispatcher.free_slot(*target);
        m_at_most_once_flow.on_probe_lost(*m_core.find_run(request_after_probe));
    }
    if (state == connection_state::busy) {
        exchange_reply unreadable;
        unreadable.status = exchange_status::malformed;
        end_attempt(carried, target->number, std::move(unreadable));
    }
}

void exchange_events::record_reply(replica& target, const carried_exchange& carried,
                                   const exchange_reply& reply) {
    const duration elapsed = m_core.now - carried.sent_at;
    switch (reply.status) {
    case exchange_status::completed: {
        target.observed.on_latency(m_core.now, elapsed);
        target.observed.on_success(m_core.now);
        service_state* service = m_core.table.find(target.service);
        if (service != nullptr) {
            service->shards[carried.shard].latency.add(elapsed);
        }
        return;
    }
    case exchange_status::shed:
        target.shed_until = m_core.now + std::clamp(reply.retry_after, min_shed, max_shed);
        m_core.timers.add(target.shed_until, timer_kind::target, target.number);
        return;
    case exchange_status::draining:
        mark_leaving(target);
        return;
    case exchange_status::version_gone:
        target.version_gone_until[carried.version] = m_core.now + version_lost_duration;
        if (service_state* service = m_core.table.find(target.service)) {
            service->versions_until = m_core.now;
        }
        return;
    case exchange_status::failed:
        target.observed.on_failure(m_core.now);
        return;
    case exchange_status::cancelled:
    case exchange_status::malformed:
        return;
    }
}

void exchange_events::mark_leaving(replica& target) {
    target.leaving = true;
    m_core.pool.trim(target, m_core.out);
    if (service_state* service = m_core.table.find(target.service)) {
        service->versions_until = m_core.now;
    }
}

void exchange_events::end_attempt(const carried_exchange& carried, std::uint64_t replica,
                                  exchange_reply reply) {
    query_run* run = m_core.find_run(carried.request);
    if (run == nullptr || !remove_attempt(*run, carried)) {
        return;
    }
    const bool not_run = reply.status == exchange_status::shed || reply.status == exchange_status::draining ||
                         reply.status == exchange_status::version_gone;
    if (not_run) {
        --run->possibly_run;
    }
    if (run->runs_at_most_once()) {
        m_at_most_once_flow.on_reply(*run, std::move(reply));
        return;
    }
    on_idempotent_end(*run, carried, replica, std::move(reply));
}

void exchange_events::on_idempotent_end(query_run& run, const carried_exchange& carried,
                                        std::uint64_t replica, exchange_reply reply) {
    const std::size_t index = carried.shard_index;
    if (reply.status == exchange_status::completed) {
        require_invariant(reply.number == carried.number,
                          "only the reply to an exchange's own number is merged");
        m_fan_out.on_part(run, index, std::move(reply));
        return;
    }
    run.shards[index].tried.push_back(replica);
    if (!run.content_proven) {
        m_core.end_exposure(run);
    }
    if (reply.status == exchange_status::version_gone) {
        m_fan_out.on_version_gone(run, index);
    } else {
        const bool shed = reply.status == exchange_status::shed;
        m_fan_out.on_failed(run, index, shed ? missing_reason::shed : missing_reason::failed);
    }
}

bool exchange_events::remove_attempt(query_run& run, const carried_exchange& carried) {
    if (carried.shard_index >= run.shards.size()) {
        return false;
    }
    auto& attempts = run.shards[carried.shard_index].attempts;
    return std::erase_if(attempts, [&](const attempt& running) { return running.number == carried.number; }) >
           0;
}

void exchange_events::on_connection_timer(connection_number number) {
    connection* late = m_core.pool.find(number);
    if (late == nullptr || late->state != connection_state::abandoned) {
        return;
    }
    if (!m_core.options.protections.suspect_silent_connections && m_core.now < late->carried.deadline) {
        m_core.timers.add(late->carried.deadline, timer_kind::connection, number);
        return;
    }
    on_silent(*late);
}

void exchange_events::on_silent(connection& silent) {
    const replica_pointer target = silent.target;
    const bool others_answer = target->replied_at > silent.abandoned_at;
    const time_point sent_at = silent.carried.sent_at;
    m_dispatcher.hold_slot(*target, silent.carried);
    close_as_lingering(silent);
    if (others_answer && m_core.options.protections.suspect_silent_connections) {
        ++m_core.counted.silent_connections;
        probe_stale_connections(*target, sent_at);
    }
    m_dispatcher.keep_warm(target);
}

void exchange_events::probe_stale_connections(const replica& target, time_point since) {
    service_state* service = m_core.table.find(target.service);
    if (service == nullptr) {
        return;
    }
    for (const auto& other : service->replicas) {
        for (const connection_number stale : m_core.pool.list_stale_idle(*other, since)) {
            m_core.pool.take(stale).state = connection_state::probing;
            m_core.out.emplace_back(probe_connection{stale, m_core.options.probe_timeout});
        }
    }
}

void exchange_events::close_as_lingering(connection& closed) {
    const replica_pointer target = closed.target;
    m_core.pool.close(closed.number, m_core.out);
    count_lingering(*target);
}

void exchange_events::count_lingering(replica& target) {
    ++target.open_connections;
    m_core.timers.add(m_core.now + m_core.options.lingering_connection_timeout, timer_kind::lingering,
                      target.number);
}

} // namespace tamarack
