#include "part_dispatcher.h"

#include "../placement/abandoned_exchange.h"
#include "../targets/target_observations.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace tamarack {

namespace {

/** An idle connection is used only up to this fraction of the idle time after which its target closes it. */
constexpr double idle_share = 0.7;

std::size_t hash_of(const request_id& request) {
    return std::hash<std::string>{}(request.value());
}

} // namespace

void part_dispatcher::list_candidates(const run_part& part) {
    m_choice.targets.clear();
    m_choice.candidates.clear();
    for (const engine_target_pointer& target : part.service->targets) {
        const std::size_t busy = m_core.uses(forwarding_mechanism::gradual_return) ? target->busy : 0;
        const bool unfit = !target->usable || target->idle.empty() || part.was_tried(target) ||
                           !target->backoff.allows(m_core.now, busy);
        if (unfit) {
            continue;
        }
        if (!target->limit.allows(m_core.now)) {
            ++target->use_under_limit.withheld;
            continue;
        }
        m_choice.targets.push_back(target);
        m_choice.candidates.push_back(describe(*target));
    }
}

target_connection part_dispatcher::take_idle(engine_target& target, const request_id& request) {
    const std::size_t request_hash = hash_of(request);
    while (!target.idle.empty()) {
        const target_connection connection = target.idle.back();
        const engine_connection& held = m_core.connections.at(connection);
        const bool fresh =
            !held.idle_limit || std::chrono::duration<double>(m_core.now - held.since).count() <
                                    idle_share * std::chrono::duration<double>(*held.idle_limit).count();
        if (fresh && held.last_request_hash != request_hash) {
            target.idle.pop_back();
            return connection;
        }
        close(connection);
    }
    return 0;
}

bool part_dispatcher::try_send(forwarding_run& run, std::size_t part_index, trace_step step) {
    run_part& part = run.parts[part_index];
    if (!m_core.may_send(run)) {
        return false;
    }
    const placement_demand demand{run.timing->median(), run.timing->p90(), run.selected_route->objective};
    list_candidates(part);
    if (step == trace_step::sent && m_locality.is_in_use()) {
        if (m_locality.select_side(*part.service, m_choice, demand)) {
            open_for(*part.service, part, true);
        }
        if (send_to_best(run, part_index, step, demand)) {
            return true;
        }
        list_candidates(part);
    }
    if (send_to_best(run, part_index, step, demand)) {
        return true;
    }
    open_for(*part.service, part, false);
    return false;
}

bool part_dispatcher::send_to_best(forwarding_run& run, std::size_t part_index, trace_step step,
                                   const placement_demand& demand) {
    auto& [targets, candidates] = m_choice;
    while (!candidates.empty()) {
        const std::size_t chosen = place(candidates, demand, m_core.random);
        const engine_target_pointer target = targets[chosen];
        if (const target_connection connection = take_idle(*target, run.request.id); connection != 0) {
            send(run, part_index, step, target, connection);
            return true;
        }
        targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(chosen));
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return false;
}

void part_dispatcher::send(forwarding_run& run, std::size_t part_index, trace_step step,
                           const engine_target_pointer& target, target_connection connection) {
    run_part& part = run.parts[part_index];
    engine_connection& held = m_core.connections.at(connection);
    held.phase = connection_phase::busy;
    held.request = run.request.number;
    held.last_request_hash = hash_of(run.request.id);
    held.part = part_index;
    held.since = m_core.now;
    held.median_time = run.timing->median();
    held.late_after = locality_late_after(run.selected_route->objective);
    held.content = run.content;
    if (part.charge) {
        part.charge->on_sent();
        held.charges.push_back(part.charge);
        for (const running_exchange& other : part.exchanges) {
            m_core.connections.at(other.connection).charges.push_back(part.charge);
        }
        part.charge.reset();
    }
    ++target->busy;
    ++target->sent_since_load;
    target->running_since.push_back(m_core.now);
    if (target->limit.in_force()) {
        ++target->use_under_limit.sent;
        target->use_under_limit.extra += step == trace_step::sent ? 0 : 1;
        target->limit.on_sent(m_core.now);
    }
    part.exchanges.push_back({connection, target, m_core.now});
    part.tried.push_back(target);
    part.progress = part_progress::running;
    ++part.possible_runs;
    ++run.sent;
    ++m_core.statistics.exchanges;
    m_core.trace(run, step, part.service->id, target.get(), {}, m_choice.candidates.size(), connection);
    if (step == trace_step::sent) {
        m_locality.on_first_sent(*target);
    }
    if (step == trace_step::sent && part.possible_runs < run.selected_route->attempts) {
        part.hedge_at = m_core.now + hedge_delay(run.timing->p90(), run.times.objective_at - m_core.now);
        m_core.wake(run, part.hedge_at);
    }
    target_exchange exchange;
    exchange.id = run.request.id;
    exchange.target = target->info.id;
    exchange.remaining_time = std::max(run.times.answer_deadline - m_core.now, duration{1ms});
    exchange.payload = run.request.payload;
    exchange.team = run.team_name();
    exchange.passes_identity = !run.table->requires_keys;
    m_core.actions.emplace_back(send_target_exchange{connection, std::move(exchange), target->far});
}

void part_dispatcher::send_or_wait(forwarding_run& run, std::size_t part_index, trace_step step) {
    run_part& part = run.parts[part_index];
    waiting_list& waiting = part.service->waiting;
    waiting_part item = describe_wait(run, part_index, step);
    waiting.charge(item);
    if (try_send(run, part_index, step)) {
        waiting.on_sent(item);
        return;
    }
    part.progress = part_progress::waiting;
    part.queued = true;
    m_core.trace(run, trace_step::waits, part.service->id, nullptr, {}, waiting.size());
    if (!m_core.uses(forwarding_mechanism::wait_order)) {
        waiting.push_back(std::move(item));
        return;
    }
    waiting.insert(std::move(item));
    await_limits(*part.service);
}

void part_dispatcher::await_limits(const engine_service& service) {
    time_point next = time_point::max();
    for (const engine_target_pointer& target : service.targets) {
        if (target->usable && !target->limit.allows(m_core.now)) {
            next = std::min(next, target->allowed_at(m_core.now));
        }
    }
    if (next < m_core.limits_at) {
        m_core.limits_at = next;
        m_core.schedule(next, due_kind::limits, 0);
    }
}

void part_dispatcher::serve_waiting(engine_service& service) {
    bool is_blocked = false; // by a part that waits for the targets that it was not sent to
    auto item = service.waiting.begin();
    while (item != service.waiting.end()) {
        forwarding_run* run = m_core.find_run(item->request);
        const bool wanted = run != nullptr && !run->ended && run->parts[item->part].queued;
        if (!wanted) {
            item = service.waiting.erase_withdrawn(item);
            continue;
        }
        const bool was_sent = !run->parts[item->part].tried.empty();
        if (is_blocked && !has_free_target(run->parts[item->part])) {
            if (!was_sent) {
                return;
            }
            ++item;
            continue;
        }
        const crash_verdict verdict = m_core.judge(*run);
        const bool is_extra = item->step != trace_step::sent;
        if (verdict == crash_verdict::refused || (is_extra && verdict != crash_verdict::clear)) {
            defer(*run, run->parts[item->part]);
            item = service.waiting.erase_withdrawn(item);
            continue;
        }
        if (!try_send(*run, item->part, item->step)) {
            await_limits(service);
            if (!was_sent) {
                return;
            }
            is_blocked = true;
            ++item;
            continue;
        }
        run->parts[item->part].queued = false;
        item = service.waiting.erase_sent(item);
    }
}

/**
 * Load pattern: a request to all shards that crashes its targets loses one target of each shard almost at
 * once. An immediate retry would crash a second target of each. If the request is harmless, the retries wait
 * only a few milliseconds, until another shard has replied.
 */
void part_dispatcher::defer(forwarding_run& run, run_part& part) {
    part.queued = false;
    part.charge.reset();
    if (!part.exchanges.empty()) {
        return;
    }
    part.progress = part_progress::deferred;
    m_core.deferred_requests.insert(run.request.number);
    m_core.trace(run, trace_step::deferred, part.service->id, nullptr);
    m_core.wake(run, m_core.now + crash_evidence::max_check_time);
}

void part_dispatcher::abandon(const running_exchange& abandoned) {
    const auto found = m_core.connections.find(abandoned.connection);
    if (found == m_core.connections.end()) {
        return;
    }
    const engine_target& target = *found->second.target;
    if (m_core.uses(forwarding_mechanism::work_cancellation) &&
        cancels_work({target.load, m_core.now - target.load_at, target.info.slots})) {
        m_core.hold_charges_open(found->second);
        m_locality.on_unanswered(found->second, false);
        close(abandoned.connection);
        return;
    }
    found->second.phase = connection_phase::abandoned;
    m_core.schedule(m_core.now + m_core.options.abandoned_reply_timeout, due_kind::connection,
                    abandoned.connection);
}

void part_dispatcher::release(target_connection connection, engine_connection& held, bool keep) {
    engine_target& target = *held.target;
    const auto begun = std::find(target.running_since.begin(), target.running_since.end(), held.since);
    if (begun != target.running_since.end()) {
        target.running_since.erase(begun);
    }
    --target.busy;
    held.phase = connection_phase::idle;
    held.since = m_core.now;
    held.charges.clear();
    held.content.reset();
    target.idle.push_back(connection);
    const bool within = target.connections() <= m_core.connections_allowed(target);
    if (!keep || !target.usable || !within) {
        close(connection);
    }
}

void part_dispatcher::close(target_connection connection) {
    forget(connection);
    m_core.actions.emplace_back(close_target_connection{connection});
}

void part_dispatcher::forget(target_connection connection) {
    const auto found = m_core.connections.find(connection);
    if (found == m_core.connections.end()) {
        return;
    }
    engine_target& target = *found->second.target;
    switch (found->second.phase) {
    case connection_phase::opening:
        --target.opening;
        --m_core.opening;
        break;
    case connection_phase::idle:
        std::erase(target.idle, connection);
        break;
    case connection_phase::busy:
    case connection_phase::abandoned: {
        const auto begun =
            std::find(target.running_since.begin(), target.running_since.end(), found->second.since);
        if (begun != target.running_since.end()) {
            target.running_since.erase(begun);
        }
        --target.busy;
        break;
    }
    }
    m_core.connections.erase(found);
}

bool part_dispatcher::may_open(const engine_target& target, bool is_check) const {
    const bool in_time = is_check ? target.openings.may_check(m_core.now)
                                  : target.openings.may_open(m_core.now, target.connections());
    return in_time && target.is_available(m_core.now) && target.limit.allows(m_core.now) &&
           target.service != nullptr && target.opening == 0 && m_core.opening < m_core.options.max_opening &&
           target.connections() < m_core.connections_allowed(target);
}

void part_dispatcher::open(const engine_target_pointer& target) {
    const target_connection connection = ++m_core.last_connection;
    engine_connection held;
    held.target = target;
    held.since = m_core.now;
    m_core.connections.emplace(connection, std::move(held));
    ++target->opening;
    ++m_core.opening;
    ++m_core.statistics.connections_opened;
    m_core.crashes.on_check_started(incarnation_of(target->info));
    m_core.actions.emplace_back(open_target_connection{connection, target->info.id, target->info.address,
                                                       m_core.options.connect_timeout});
}

void part_dispatcher::open_for(const engine_service& service, const run_part& part, bool only_near) {
    engine_target_pointer chosen;
    for (const engine_target_pointer& target : service.targets) {
        const bool better = chosen == nullptr || target->connections() < chosen->connections();
        if (may_open(*target) && better && !part.was_tried(target) && !(only_near && target->far)) {
            chosen = target;
        }
    }
    if (chosen != nullptr) {
        open(chosen);
    }
}

void part_dispatcher::keep_warm() {
    time_point next = time_point::max();
    bool postponed = false;
    for (auto& [id, service] : m_core.services) {
        for (const engine_target_pointer& target : service->targets) {
            const bool keeps_warm =
                m_core.view->takes_callers && m_core.uses(forwarding_mechanism::warm_connections);
            const std::size_t warm = keeps_warm ? m_core.options.warm_connections : 0;
            const bool check =
                target->opening == 0 && m_core.crashes.awaits_check(incarnation_of(target->info));
            const std::size_t wanted =
                std::min(check ? target->connections() + 1 : warm, m_core.connections_allowed(*target));
            if (!target->is_available(m_core.now) || target->connections() >= wanted) {
                continue;
            }
            if (may_open(*target, check)) {
                open(target);
            } else if (m_core.now < target->openings.opens_at()) {
                next = std::min(next, target->openings.opens_at());
            } else {
                postponed = true;
            }
        }
    }
    if (postponed) {
        next = std::min(next, m_core.now + m_core.options.first_reopen_delay);
    }
    if (next < m_core.warming_at) {
        m_core.warming_at = next;
        m_core.schedule(next, due_kind::warming, 0);
    }
}

void part_dispatcher::on_lost(const engine_connection& lost) {
    engine_target& target = *lost.target;
    const duration first_delay = m_core.options.first_reopen_delay;
    const bool backs_off = m_core.uses(forwarding_mechanism::connection_backoff);
    const std::size_t held = target.connections();
    const time_point before = target.openings.opens_at();
    if (lost.phase == connection_phase::opening) {
        ++m_core.statistics.connections_failed;
        target.openings.on_unreachable(m_core.now, first_delay);
        if (backs_off && held > 0) {
            target.openings.on_refused(m_core.now, held, first_delay, m_core.random);
        }
    } else if (backs_off && lost.has_replied) {
        if (lost.phase != connection_phase::idle) {
            target.openings.on_served_connection_lost(m_core.now);
        }
    } else if (backs_off && m_core.now - lost.opened_at <= refusal_time) {
        target.openings.on_refused(m_core.now, held, first_delay, m_core.random);
    }
    if (target.openings.opens_at() != before) {
        m_core.schedule(target.openings.opens_at(), due_kind::warming, 0);
    }
}

} // namespace tamarack
