#include "forwarding_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/** Bound on the steps traced per request; further ones are dropped. */
constexpr std::size_t max_trace_entries = 200;
/** A longer lag is a pause of the whole process, not a sign of load. */
constexpr duration max_lag = 200ms;
/** Time in which a lag decays to 1/e; sustained load is measured again with the next timer. */
constexpr duration lag_decay_time = 150ms;
/** Charges of exchanges that remain unanswered are closed after this number of windows. */
constexpr int unread_timeout_windows = 2;
/** Used when limit_connections is off, in tests. */
constexpr std::size_t unlimited_connections = 1'000;

} // namespace

std::size_t forwarding_run::count(part_progress progress) const {
    return static_cast<std::size_t>(std::count_if(
        parts.begin(), parts.end(), [progress](const run_part& part) { return part.progress == progress; }));
}

bool forwarding_run::covers_enough(std::size_t covered) const {
    return covered >= parts_needed(selected_route->least_coverage, parts.size());
}

bool forwarding_run::is_under_way() const {
    return std::any_of(parts.begin(), parts.end(),
                       [](const run_part& part) { return part.queued || !part.exchanges.empty(); });
}

forwarding_core::forwarding_core(forwarding_options wanted, random_source source)
    : options(std::move(wanted)), random(source), key_seed(random.next()) {}

forwarding_run* forwarding_core::find_run(forward_number number) {
    const auto found = runs.find(number);
    return found == runs.end() ? nullptr : found->second.get();
}

void forwarding_core::observe_lag(duration behind) {
    lag = std::max(std::min(behind, max_lag), current_lag());
    lag_at = now;
}

duration forwarding_core::current_lag() const {
    const double age = static_cast<double>((now - lag_at).count());
    const double decayed =
        static_cast<double>(lag.count()) * std::exp(-age / static_cast<double>(lag_decay_time.count()));
    return duration{static_cast<std::int64_t>(decayed)};
}

void forwarding_core::wake(forwarding_run& run, time_point at) {
    if (at < run.wake_at) {
        run.wake_at = at;
        schedule(at, due_kind::request, run.request.number);
    }
}

void forwarding_core::schedule(time_point at, due_kind kind, std::uint64_t number) {
    due.push({at, kind, number});
}

double forwarding_core::allowance_now() const {
    return view && holds_lease() ? view->allowance.at(now) : 0.0;
}

std::size_t forwarding_core::connections_allowed(const engine_target& target) const {
    return options.protections.limit_connections ? target.info.connections : unlimited_connections;
}

crash_verdict forwarding_core::judge(const forwarding_run& run) const {
    if (!options.protections.single_run_of_crashing || crashes.empty()) {
        return crash_verdict::clear;
    }
    return crashes.judge(now, run.content->content_digest());
}

void forwarding_core::report_crash_step(crash_step step, const forwarding_run& run) {
    const digest& content = run.content->content_digest();
    actions.emplace_back(crash_evidence_report{step, content, run.request.id, target_id{},
                                               crashes.targets_lost_to(now, content)});
}

exchange_timing& forwarding_core::timing_of(const route& selected) {
    return timings.try_emplace(selected.name, selected.objective).first->second;
}

engine_service_pointer forwarding_core::service_of(const engine_target& target) const {
    const auto found = services.find(target.info.service);
    return found == services.end() ? nullptr : found->second;
}

void forwarding_core::trace(forwarding_run& run, trace_step step, const service_id& service,
                            const engine_target* target, std::string result, std::size_t candidates,
                            target_connection connection) const {
    if (run.trace.entries.size() >= max_trace_entries) {
        return;
    }
    trace_entry entry;
    entry.after = now - run.arrived;
    entry.step = step;
    entry.service = service;
    entry.result = std::move(result);
    entry.candidates = static_cast<std::uint32_t>(candidates);
    entry.connection = connection;
    entry.load_age = duration{-1};
    if (target != nullptr) {
        entry.target = target->info.id;
        entry.load = static_cast<std::uint32_t>(target->busy);
        if (target->load) {
            entry.load = std::max(entry.load, target->load->running + target->load->waiting);
            entry.load_age = now - target->load_at;
        }
    }
    run.trace.entries.push_back(std::move(entry));
}

std::shared_ptr<extra_budget> forwarding_core::budget_of(const service_id& service) {
    auto& budget = budgets[service];
    if (!budget) {
        budget = std::make_shared<extra_budget>(options.extra, now);
    }
    return budget;
}

void forwarding_core::hold_charges_open(engine_connection& held) {
    if (!held.charges.empty()) {
        const duration limit = unread_timeout_windows * options.extra.window;
        unread.push_back({held.target->info.id, now + limit, std::move(held.charges)});
    }
}

void forwarding_core::close_charges(const target_id& target) {
    if (!unread.empty()) {
        std::erase_if(unread, [&target](const unread_exchange& item) { return item.target == target; });
    }
}

void forwarding_core::drop_idle_budgets() {
    std::erase_if(budgets, [this](const auto& item) {
        return !services.contains(item.first) && item.second->idle(now);
    });
}

void forwarding_core::schedule_extra_load_report() {
    if (!extra_load_scheduled) {
        extra_load_scheduled = true;
        schedule(now + extra_load_report_delay, due_kind::extra_load, 0);
        extra_load_report_delay = std::min(2 * extra_load_report_delay, options.extra.window);
    }
}

void forwarding_core::report_extra_load() {
    extra_load_scheduled = false;
    std::erase_if(unread, [this](const unread_exchange& item) { return item.until <= now; });
    if (!unread.empty()) {
        schedule_extra_load_report();
    }
    for (const auto& [id, service] : services) {
        const extra_load_counts counts = service->budget->within_window(now);
        const std::uint32_t refused = std::exchange(service->refused_extra_exchanges, 0);
        if (counts.extra_exchanges > 0 || refused > 0) {
            actions.emplace_back(extra_load_report{id, counts.requests, counts.extra_exchanges, refused,
                                                   allowance_now(), now - service->budget->began()});
        }
    }
}

void forwarding_core::report_target_change(target_change change, const engine_target& target) {
    const time_point withheld_until = std::max(target.ejected_until, target.backoff.ends_at());
    const duration until = std::max(withheld_until - now, duration{0});
    actions.emplace_back(
        target_changed{change, target.info.id, target.info.service, target.failures_in_row, until});
}

} // namespace tamarack
