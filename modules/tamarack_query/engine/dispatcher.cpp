#include "dispatcher.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr duration assumed_latency = 10ms;
constexpr duration first_dial_backoff = 50ms;
constexpr duration max_dial_backoff = 2s;
constexpr duration ejection_duration = 1s;
constexpr std::uint32_t failures_to_eject = 3;
constexpr double min_ramp = 0.1;
constexpr std::uint32_t spare_connections = 1;
constexpr double hedge_percentile = 0.97;
constexpr std::size_t max_attempts = 3;
constexpr double min_retry_scale = 0.2; ///< least factor on the extra load earned, for retries under overload
constexpr std::size_t max_skipped = 2;  ///< waiting exchanges that may be overtaken
constexpr std::uint32_t samples_to_hedge = 50;

bool contains(const std::vector<std::uint64_t>& numbers, std::uint64_t wanted) {
    return std::find(numbers.begin(), numbers.end(), wanted) != numbers.end();
}

bool runs_at(const shard_run& part, std::uint64_t replica) {
    return std::any_of(part.attempts.begin(), part.attempts.end(),
                       [replica](const attempt& running) { return running.replica == replica; });
}

} // namespace

bool dispatcher::try_send(query_run& run, std::size_t shard_index, attempt_kind kind) {
    const shard_run& part = run.shards[shard_index];
    list_candidates(run, part, kind);
    if (m_candidates.empty()) {
        dial_where_it_helps(run, part);
        return false;
    }
    const std::size_t chosen = m_core.policies.choose_replica(m_candidates, m_core.random);
    require_invariant(chosen < m_eligible.size(), "a replica is chosen among the candidates");
    connection* used = m_core.pool.take_idle(*m_eligible[chosen]);
    if (run.runs_at_most_once() && m_core.options.protections.probe_before_sending_at_most_once) {
        probe(run, shard_index, *used);
    } else {
        send(run, shard_index, kind, *used);
    }
    return true;
}

void dispatcher::send_or_queue(query_run& run, std::size_t shard_index, attempt_kind kind) {
    shard_run& part = run.shards[shard_index];
    if (part.shard->waiting.empty() && try_send(run, shard_index, kind)) {
        return;
    }
    part.progress = shard_progress::waiting;
    part.shard->waiting.push_back({run.request.number, shard_index, run.generation, kind});
    m_core.mark_dirty(*part.shard);
}

void dispatcher::queue_hedge(query_run& run, std::size_t shard_index) {
    shard_state& shard = *run.shards[shard_index].shard;
    shard.waiting.push_front({run.request.number, shard_index, run.generation, attempt_kind::hedge});
    m_core.mark_dirty(shard);
}

void dispatcher::send_waiting() {
    while (!m_core.dirty_shards.empty()) {
        shard_state& shard = *m_core.dirty_shards.back();
        m_core.dirty_shards.pop_back();
        shard.dirty = false;
        send_waiting(shard);
    }
}

void dispatcher::send_waiting(shard_state& shard) {
    std::size_t index = 0;
    while (index < shard.waiting.size() && index <= max_skipped) {
        if (send_next(shard, index)) {
            shard.waiting.erase(shard.waiting.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            ++index;
        }
    }
}

bool dispatcher::send_next(shard_state& shard, std::size_t index) {
    const waiting_exchange next = shard.waiting[index];
    query_run* run = m_core.find_run(next.request);
    if (run != nullptr && is_wanted(*run, next)) {
        return try_send(*run, next.shard_index, next.kind);
    }
    if (next.kind == attempt_kind::hedge) {
        shard.service->budget.refund();
    }
    return true;
}

bool dispatcher::is_wanted(const query_run& run, const waiting_exchange& waiting) {
    if (run.generation != waiting.generation) {
        return false;
    }
    const shard_run& part = run.shards[waiting.shard_index];
    const bool hedge = waiting.kind == attempt_kind::hedge;
    return part.progress == (hedge ? shard_progress::running : shard_progress::waiting);
}

void dispatcher::list_candidates(const query_run& run, const shard_run& part, attempt_kind kind) {
    m_eligible.clear();
    m_candidates.clear();
    const duration seen = part.shard->latency.percentile(0.5);
    const duration expected = seen == duration{0} ? assumed_latency : seen;
    for (const auto& target : part.shard->replicas) {
        const bool already_running = kind != attempt_kind::first && runs_at(part, target->number);
        if (!already_running && target->usable(m_core.now) && target->holds(run.version, m_core.now) &&
            has_free_slot(*target) && !target->idle.empty()) {
            add_candidate(target, expected, run.request.number);
        }
    }
    if (!run.content_proven) {
        avoid_unproven(run.runs_at_most_once() || m_core.crashes.exposures(run.content.hash) > 1);
    }
    prefer_untried(part);
    prefer_not_ejected();
    prefer_ramped_up();
}

void dispatcher::add_candidate(const replica_pointer& target, duration expected, request_number request) {
    replica_candidate candidate;
    candidate.distance = target->view.distance;
    candidate.slots = target->view.slots;
    candidate.slots_taken = target->slots_taken;
    candidate.latency = target->observed.latency(m_core.now, expected);
    candidate.error_share = target->observed.error_share(m_core.now);
    candidate.ramp = ramp_of(*target);
    candidate.ejected = is_ejected(*target);
    candidate.reported_load = target->view.reported_load;
    candidate.report_age = m_core.now - target->view.reported_at;
    candidate.target = &target->view.target;
    candidate.request = request;
    m_candidates.push_back(candidate);
    m_eligible.push_back(target);
}

bool dispatcher::has_free_slot(const replica& target) const {
    return !m_core.options.protections.limit_slots || target.slots_taken < target.view.slots;
}

double dispatcher::ramp_of(const replica& target) const {
    const auto age = static_cast<double>((m_core.now - target.first_seen).count());
    const auto length = static_cast<double>(m_core.options.ramp_duration.count());
    return std::clamp(age / length, min_ramp, 1.0);
}

bool dispatcher::is_ejected(const replica& target) const {
    return target.observed.failures_in_row() >= failures_to_eject &&
           m_core.now < target.observed.last_failure() + ejection_duration;
}

template <typename Unwanted>
void dispatcher::drop_candidates(Unwanted unwanted) {
    std::size_t kept = 0;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        if (unwanted(index)) {
            continue;
        }
        m_candidates[kept] = m_candidates[index];
        m_eligible[kept] = m_eligible[index];
        ++kept;
    }
    if (kept > 0) {
        m_candidates.resize(kept);
        m_eligible.resize(kept);
    }
}

void dispatcher::prefer_untried(const shard_run& part) {
    drop_candidates([&](std::size_t index) { return contains(part.tried, m_eligible[index]->number); });
}

void dispatcher::avoid_unproven(bool strictly) {
    const auto runs_unproven = [&](std::size_t index) { return m_eligible[index]->unproven_running > 0; };
    drop_candidates(runs_unproven);
    if (strictly && !m_candidates.empty() && runs_unproven(0)) {
        m_candidates.clear();
        m_eligible.clear();
    }
}

void dispatcher::prefer_not_ejected() {
    drop_candidates([&](std::size_t index) { return m_candidates[index].ejected; });
}

void dispatcher::prefer_ramped_up() {
    drop_candidates([&](std::size_t index) {
        const double ramp = m_candidates[index].ramp;
        return ramp < 1.0 && !m_core.random.chance(ramp);
    });
}

void dispatcher::dial_where_it_helps(const query_run& run, const shard_run& part) {
    for (const auto& target : part.shard->replicas) {
        const bool helps = target->usable(m_core.now) && target->holds(run.version, m_core.now) &&
                           has_free_slot(*target) && target->idle.empty() &&
                           target->dialing <= part.shard->waiting.size();
        if (helps && m_core.pool.may_dial(*target, m_core.now)) {
            m_core.pool.dial(target, m_core.out);
        }
    }
}

void dispatcher::send(query_run& run, std::size_t shard_index, attempt_kind kind, connection& used) {
    shard_run& part = run.shards[shard_index];
    replica& target = *used.target;
    exchange wanted;
    wanted.number = m_core.next_exchange();
    wanted.request = run.request.number;
    wanted.caller_id = run.request.id;
    wanted.service = run.request.service;
    wanted.shard = part.shard->id;
    wanted.version = run.version.version;
    wanted.body = run.body;
    wanted.deadline = run.answer_deadline;
    wanted.key = run.request.at_most_once.key;
    used.state = connection_state::busy;
    used.request_after_probe = 0;
    used.carried = {wanted.number, wanted.request,      shard_index, wanted.shard, wanted.version,
                    m_core.now,    run.answer_deadline, kind,        run.content,  !run.content_proven};
    target.unproven_running += run.content_proven ? 0U : 1U;
    ++target.slots_taken;
    require_invariant(target.slots_taken <= target.view.slots || !target.listed,
                      "a host runs no more exchanges at a target than its share of slots");
    part.attempts.push_back({used.number, wanted.number, target.number, m_core.now, kind});
    part.progress = shard_progress::running;
    if (run.runs_at_most_once()) {
        run.at_most_once = at_most_once_progress::sent;
    }
    ++part.sent;
    ++run.possibly_run;
    count_attempt(run, kind);
    plan_hedge(run, part);
    m_core.out.emplace_back(send_exchange{used.number, std::move(wanted)});
}

void dispatcher::plan_hedge(query_run& run, shard_run& part) {
    if (run.runs_at_most_once() || part.attempts.size() >= max_attempts) {
        return;
    }
    const latency_histogram& seen = part.shard->latency;
    hedge_inputs inputs;
    inputs.shard_percentile =
        seen.samples() < samples_to_hedge ? duration{0} : seen.percentile(hedge_percentile);
    inputs.remaining = run.answer_deadline - m_core.now;
    inputs.objective = run.service->definition.objectives.latency;
    const auto delay = m_core.policies.hedge_after(inputs);
    if (delay.has_value() && *delay < inputs.remaining) {
        part.hedge_at = m_core.now + *delay;
        m_core.wake(run, part.hedge_at);
    }
}

double dispatcher::load_scale(const service_state& service) const {
    return m_core.policies.scale_extra_load({service.queue.size(), service.running, service.running_limit});
}

void dispatcher::count_attempt(query_run& run, attempt_kind kind) {
    if (kind != attempt_kind::first) {
        return;
    }
    service_state& service = *run.service;
    const double scale = std::max(load_scale(service), min_retry_scale);
    service.budget.on_first_attempt(scale * service.definition.budgets.extra_load);
}

void dispatcher::probe(query_run& run, std::size_t shard_index, connection& used) {
    used.state = connection_state::probing;
    used.request_after_probe = run.request.number;
    ++used.target->slots_taken;
    run.at_most_once = at_most_once_progress::probing;
    run.shards[shard_index].progress = shard_progress::running;
    m_core.out.emplace_back(probe_connection{used.number, m_core.options.probe_timeout});
}

void dispatcher::send_probed(query_run& run, connection& used) {
    --used.target->slots_taken;
    send(run, 0, attempt_kind::first, used);
}

void dispatcher::keep_warm(const replica_pointer& target) {
    const std::uint32_t wanted = std::min(target->view.connections, target->view.slots + spare_connections);
    while (target->view.slots > 0 && target->open_connections < wanted &&
           m_core.pool.may_dial(*target, m_core.now)) {
        m_core.pool.dial(target, m_core.out);
    }
}

void dispatcher::on_dial_failed(const replica_pointer& target) {
    if (m_core.now < target->dial_after) {
        return;
    }
    target->dial_backoff = std::clamp(target->dial_backoff * 2, first_dial_backoff, max_dial_backoff);
    target->dial_after = m_core.now + target->dial_backoff;
    m_core.timers.add(target->dial_after, timer_kind::target, target->number);
}

void dispatcher::free_slot(replica& target) {
    require_invariant(target.slots_taken > 0, "a slot is freed only once");
    --target.slots_taken;
    m_core.mark_dirty(target);
}

void dispatcher::hold_slot(const replica& target, const carried_exchange& carried) {
    const time_point until = std::min(carried.deadline, m_core.now + m_core.options.slot_hold_time);
    m_core.timers.add(std::max(until, m_core.now), timer_kind::slot, target.number);
}

void dispatcher::abandon(const attempt& unwanted) {
    connection* used = m_core.pool.find(unwanted.connection);
    require_invariant(used != nullptr && used->carried.number == unwanted.number,
                      "the connection of a running attempt carries its exchange");
    const replica_pointer target = used->target;
    observe_unfinished(*used);
    used->state = connection_state::abandoned;
    used->abandoned_at = m_core.now;
    if (!m_core.policies.keep_abandoned_connections) {
        close_without_reply(*used);
        return;
    }
    m_core.timers.add(m_core.now + m_core.options.cancelled_reply_timeout, timer_kind::connection,
                      used->number);
    m_core.out.emplace_back(cancel_exchange{target->view.target, target->view.address, unwanted.number});
}

void dispatcher::observe_unfinished(const connection& used) {
    const duration elapsed = m_core.now - used.carried.sent_at;
    if (elapsed > used.target->observed.latency(m_core.now, assumed_latency)) {
        used.target->observed.on_latency(m_core.now, elapsed);
    }
    service_state* service = m_core.table.find(used.target->service);
    if (service == nullptr || used.carried.kind != attempt_kind::first) {
        return;
    }
    latency_histogram& seen = service->shards[used.carried.shard].latency;
    if (elapsed >= seen.percentile(0.5)) {
        seen.add(elapsed);
    }
}

void dispatcher::close_without_reply(connection& closed) {
    const replica_pointer target = closed.target;
    hold_slot(*target, closed.carried);
    m_core.pool.close(closed.number, m_core.out);
    keep_warm(target);
}

} // namespace tamarack
