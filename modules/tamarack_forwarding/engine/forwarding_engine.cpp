#include "forwarding_engine.h"

#include "../targets/target_observations.h"
#include "exchange_losses.h"
#include "limit_tracker.h"
#include "locality_router.h"
#include "request_flow.h"
#include "target_list.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

/** An abandoned reply counts as a failure of its target after this multiple of the median plus this delay. */
constexpr int unanswered_factor = 4;
constexpr duration min_unanswered_delay = 200ms;

} // namespace

/** The engine's parts, and the dispatch of events to them. */
struct forwarding_engine::implementation {
    forwarding_core core;
    locality_router locality{core};
    part_dispatcher dispatcher{core, locality};
    request_flow flow{core, dispatcher};
    exchange_losses losses{core};
    limit_tracker limits{core};
    target_list targets{core, dispatcher, losses, limits};

    implementation(forwarding_options options, random_source random) : core(std::move(options), random) {}

    template <typename Handler>
    forwarding_actions handle(time_point now, Handler handler) {
        core.now = std::max(core.now, now);
        core.actions.clear();
        review_key_lease();
        handler();
        if (!core.deferred_requests.empty()) {
            flow.review_deferred();
        }
        flow.admission().finish_event();
        core.ended.clear();
        return std::move(core.actions);
    }

    void review_key_lease();
    void on_view(forwarding_view_pointer view);
    void on_connected(target_connection connection);
    void on_connection_lost(target_connection connection, std::string cause, bool unsent);
    void on_reply(target_connection connection, target_reply reply);
    void observe(engine_connection& held, const target_reply& reply);
    void observe_backoff(engine_target& target, const target_reply& reply);
    void on_remote_limit(const target_incarnation& named, const limit_statement& statement);
    void on_leaving(const engine_target_pointer& target);
    void on_failure(engine_target& target);
    void on_due(const due_item& item);
    void go_on(std::vector<admitted_request> requests);
    void on_abandoned_timeout(target_connection connection);
};

/** Runs before each event, so that no event sends a request whose lease has ended. */
void forwarding_engine::implementation::review_key_lease() {
    const bool held = std::exchange(core.held_key_lease, core.holds_key_lease());
    if (held && !core.held_key_lease && core.options.keys_need_lease && core.index) {
        flow.withdraw_keyed_requests(true);
    }
}

void forwarding_engine::implementation::on_view(forwarding_view_pointer view) {
    const bool new_routes = view->routes && (!core.view || core.view->routes != view->routes);
    core.view = std::move(view);
    if (new_routes) {
        core.index.emplace(core.view->routes);
        core.teams.emplace(core.view->routes, core.key_seed);
        targets.update_services(*core.view);
    }
    targets.update_targets(*core.view);
    flow.admission().on_view();
    if (new_routes) {
        flow.withdraw_keyed_requests(false);
    }
    dispatcher.keep_warm();
    for (auto& [id, service] : core.services) {
        flow.give_up_unservable(*service);
        dispatcher.serve_waiting(*service);
    }
}

void forwarding_engine::implementation::on_connected(target_connection connection) {
    const auto found = core.connections.find(connection);
    if (found == core.connections.end() || found->second.phase != connection_phase::opening) {
        return;
    }
    engine_connection& held = found->second;
    const engine_target_pointer target = held.target;
    --target->opening;
    --core.opening;
    target->openings.on_connected();
    core.crashes.on_target_reachable(incarnation_of(target->info), held.since);
    held.phase = connection_phase::idle;
    held.since = core.now;
    held.opened_at = core.now;
    target->idle.push_back(connection);
    if (core.crashes.awaits_check(incarnation_of(target->info))) {
        dispatcher.keep_warm();
    }
    if (!target->usable) {
        dispatcher.close(connection);
        return;
    }
    dispatcher.serve_waiting(*target->service);
}

void forwarding_engine::implementation::on_connection_lost(target_connection connection, std::string cause,
                                                           bool unsent) {
    const auto found = core.connections.find(connection);
    if (found == core.connections.end()) {
        return;
    }
    const engine_connection held = found->second;
    dispatcher.forget(connection);
    dispatcher.on_lost(held);
    if (held.phase != connection_phase::idle) {
        on_failure(*held.target);
    }
    if (held.phase == connection_phase::opening) {
        losses.on_unreachable(held.target->info);
    } else if (held.content && !unsent) {
        losses.on_lost(held, loss_cause::connection_lost);
        locality.on_unanswered(held, true);
    }
    forwarding_run* run = held.phase == connection_phase::busy ? core.find_run(held.request) : nullptr;
    if (run != nullptr) {
        flow.on_lost(*run, held.part, connection, std::move(cause), unsent);
    }
    dispatcher.keep_warm();
}

void forwarding_engine::implementation::on_failure(engine_target& target) {
    const bool before = core.now < target.ejected_until;
    observe_failure(target, core.now);
    if (!before && core.now < target.ejected_until) {
        core.report_target_change(target_change::ejected, target);
    }
}

void forwarding_engine::implementation::observe(engine_connection& held, const target_reply& reply) {
    engine_target& target = *held.target;
    observe_load(target, core.now, reply.load);
    held.idle_limit = reply.idle_limit;
    observe_backoff(target, reply);
    limits.on_reply(target, held.since, reply);
    if (reply.backoff) {
        return;
    }
    if (reply.verdict != target_verdict::completed) {
        on_failure(target);
        return;
    }
    target.backoff.on_success();
    const bool before = target.ejected_until > time_point{};
    observe_success(target, core.now, core.now - held.since, held.median_time);
    if (before) {
        core.report_target_change(target_change::readmitted, target);
    }
}

/** A target that is full has not failed: its backoff is honoured, and it is not ejected. */
void forwarding_engine::implementation::observe_backoff(engine_target& target, const target_reply& reply) {
    if (reply.backoff_invalid) {
        core.report_target_change(target_change::backoff_invalid, target);
    }
    if (!reply.backoff || !core.options.protections.honour_backoff) {
        return;
    }
    const bool began = !target.backoff.is_in_backoff(core.now);
    target.backoff.on_requested(core.now, *reply.backoff, core.random);
    core.schedule(target.backoff.ends_at(), due_kind::warming, 0);
    if (began) {
        core.report_target_change(target_change::in_backoff, target);
    }
}

void forwarding_engine::implementation::on_remote_limit(const target_incarnation& named,
                                                        const limit_statement& statement) {
    if (const engine_target_pointer target = limits.on_report(named, statement)) {
        flow.give_up_unservable(*target->service);
        dispatcher.serve_waiting(*target->service);
    }
}

void forwarding_engine::implementation::on_leaving(const engine_target_pointer& target) {
    core.withheld.on_leaving(target->info.id, target->info.incarnation);
    core.actions.emplace_back(target_leaving{target->info.id, target->info.incarnation});
    targets.remove(target, target_change::leaving);
}

void forwarding_engine::implementation::on_reply(target_connection connection, target_reply reply) {
    const auto found = core.connections.find(connection);
    if (found == core.connections.end()) {
        return;
    }
    engine_connection& held = found->second;
    const bool expected = held.phase == connection_phase::busy || held.phase == connection_phase::abandoned;
    if (!expected) {
        dispatcher.close(connection);
        return;
    }
    const engine_target_pointer target = held.target;
    if (!std::exchange(held.has_replied, true)) {
        target->openings.on_served(core.now, target->connections(), core.connections_allowed(*target),
                                   core.options.first_reopen_delay);
    }
    const bool wanted = held.phase == connection_phase::busy;
    const forward_number request = held.request;
    const std::size_t part = held.part;
    const duration taken = core.now - held.since;
    if (reply.verdict == target_verdict::completed && target->service != nullptr) {
        target->service->returns.on_completed(core.now);
    }
    if (reply.verdict == target_verdict::completed) {
        losses.on_completed(*held.content);
    }
    observe(held, reply);
    locality.on_reply(held, reply);
    core.close_charges(target->info.id);
    const bool keep = reply.keeps_connection && reply.verdict != target_verdict::malformed &&
                      reply.verdict != target_verdict::wrong_target;
    const bool wrong_target = reply.verdict == target_verdict::wrong_target;
    const engine_service_pointer service = core.service_of(*target);
    const bool now_unavailable =
        target->usable && (wrong_target || reply.leaving || reply.backoff || !target->limit.has_share());
    dispatcher.release(connection, held, keep);
    if (reply.leaving && target->usable && !wrong_target && core.options.protections.honour_leaving) {
        on_leaving(target);
    }
    if (wrong_target && target->usable) {
        targets.remove(target, target_change::replaced);
    }
    forwarding_run* run = wanted ? core.find_run(request) : nullptr;
    if (run != nullptr) {
        if (reply.verdict == target_verdict::completed) {
            run->timing->observe(taken);
        }
        flow.on_reply(*run, part, connection, std::move(reply));
    }
    if (now_unavailable && service) {
        flow.give_up_unservable(*service);
    }
    if (target->service != nullptr) {
        dispatcher.serve_waiting(*target->service);
    }
    if (!keep) {
        dispatcher.keep_warm();
    }
}

void forwarding_engine::implementation::on_abandoned_timeout(target_connection connection) {
    const auto found = core.connections.find(connection);
    if (found == core.connections.end() || found->second.phase != connection_phase::abandoned) {
        return;
    }
    const engine_connection held = found->second;
    core.hold_charges_open(found->second);
    locality.on_unanswered(held, false);
    dispatcher.close(connection);
    if (core.now - held.since > unanswered_factor * held.median_time + min_unanswered_delay) {
        on_failure(*held.target);
        losses.on_lost(held, loss_cause::unanswered);
    }
    dispatcher.keep_warm();
}

void forwarding_engine::implementation::on_due(const due_item& item) {
    switch (item.kind) {
    case due_kind::request:
        if (forwarding_run* run = core.find_run(item.number); run != nullptr && run->wake_at <= core.now) {
            flow.on_wake(*run);
        }
        break;
    case due_kind::connection:
        on_abandoned_timeout(item.number);
        break;
    case due_kind::warming:
        if (item.at >= core.warming_at) {
            core.warming_at = time_point::max();
        }
        dispatcher.keep_warm();
        for (auto& [id, service] : core.services) {
            dispatcher.serve_waiting(*service);
        }
        break;
    case due_kind::extra_load:
        core.report_extra_load();
        break;
    case due_kind::limits:
        if (item.at >= core.limits_at) {
            core.limits_at = time_point::max();
        }
        for (auto& [id, service] : core.services) {
            dispatcher.serve_waiting(*service);
        }
        break;
    case due_kind::warmup:
        limits.end_warmups();
        dispatcher.keep_warm();
        for (auto& [id, service] : core.services) {
            dispatcher.serve_waiting(*service);
        }
        break;
    case due_kind::limit_reports:
        limits.report_in_force();
        break;
    case due_kind::team_limits:
        go_on(flow.admission().on_timer());
        break;
    case due_kind::lease:
        break; // review_key_lease has run before this event
    case due_kind::crash_reports:
        losses.broadcast_due_losses();
        break;
    }
}

void forwarding_engine::implementation::go_on(std::vector<admitted_request> requests) {
    for (admitted_request& item : requests) {
        flow.on_admitted(std::move(item));
    }
}

forwarding_engine::forwarding_engine(forwarding_options options, random_source random)
    : m_implementation(std::make_unique<implementation>(std::move(options), random)) {}

forwarding_engine::~forwarding_engine() = default;
forwarding_engine::forwarding_engine(forwarding_engine&&) noexcept = default;
forwarding_engine& forwarding_engine::operator=(forwarding_engine&&) noexcept = default;

forwarding_actions forwarding_engine::on_view(time_point now, forwarding_view_pointer view) {
    return m_implementation->handle(now, [&] { m_implementation->on_view(std::move(view)); });
}

void forwarding_engine::on_lease(time_point now, time_point ends_at) {
    m_implementation->core.now = std::max(m_implementation->core.now, now);
    forwarding_core& core = m_implementation->core;
    core.lease_ends_at = ends_at;
    if (core.options.keys_need_lease) {
        core.schedule(ends_at - core.suspended - core.options.key_lease_margin, due_kind::lease, 0);
    }
}

void forwarding_engine::on_suspended(duration total) {
    m_implementation->core.suspended = total;
}

forwarding_actions forwarding_engine::on_request(time_point now, forward_request request) {
    return m_implementation->handle(now, [&] { m_implementation->flow.on_arrival(std::move(request)); });
}

forwarding_actions forwarding_engine::on_caller_gone(time_point now, forward_number request) {
    return m_implementation->handle(now, [&] {
        if (forwarding_run* run = m_implementation->core.find_run(request)) {
            m_implementation->flow.on_caller_gone(*run);
        } else {
            m_implementation->flow.on_caller_gone(request);
        }
    });
}

forwarding_actions forwarding_engine::on_team_grant(time_point now, const team_grant& grant) {
    return m_implementation->handle(
        now, [&] { m_implementation->go_on(m_implementation->flow.admission().on_grant(grant)); });
}

forwarding_actions forwarding_engine::on_connected(time_point now, target_connection connection) {
    return m_implementation->handle(now, [&] { m_implementation->on_connected(connection); });
}

forwarding_actions forwarding_engine::on_connection_lost(time_point now, target_connection connection,
                                                         std::string cause, bool unsent) {
    return m_implementation->handle(
        now, [&] { m_implementation->on_connection_lost(connection, std::move(cause), unsent); });
}

forwarding_actions forwarding_engine::on_reply(time_point now, target_connection connection,
                                               target_reply reply) {
    return m_implementation->handle(now, [&] { m_implementation->on_reply(connection, std::move(reply)); });
}

forwarding_actions forwarding_engine::on_timer(time_point now) {
    return m_implementation->handle(now, [&] {
        forwarding_core& core = m_implementation->core;
        if (!core.due.empty() && core.due.top().at <= core.now) {
            core.observe_lag(core.now - core.due.top().at);
        }
        while (!core.due.empty() && core.due.top().at <= core.now) {
            const due_item item = core.due.top();
            core.due.pop();
            m_implementation->on_due(item);
        }
    });
}

time_point forwarding_engine::next_timer() const {
    const auto& due = m_implementation->core.due;
    return due.empty() ? time_point::max() : due.top().at;
}

void forwarding_engine::on_remote_crash_loss(time_point now, const crash_loss& loss) {
    m_implementation->core.crashes.on_loss_reported(now, loss);
}

forwarding_actions forwarding_engine::on_remote_request_limit(time_point now,
                                                              const target_incarnation& target,
                                                              const limit_statement& statement) {
    return m_implementation->handle(now, [&] { m_implementation->on_remote_limit(target, statement); });
}

std::size_t forwarding_engine::unanswered() const {
    return m_implementation->core.runs.size() + m_implementation->flow.admission().waiting();
}

forwarding_statistics forwarding_engine::statistics() const {
    const forwarding_core& core = m_implementation->core;
    forwarding_statistics result = core.statistics;
    result.running = core.runs.size();
    result.connections = core.connections.size();
    result.unread = core.unread.size();
    result.timers = core.due.size();
    for (const auto& [id, service] : core.services) {
        result.waiting += service->waiting.size();
    }
    return result;
}

} // namespace tamarack
