#include "limit_tracker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace tamarack {

namespace {

/** Interval of the reports on a target whose request limit is in force. */
constexpr duration report_interval = 4s;

/** @return whether a reply was written by the target itself and thus tells whether a limit is in force */
bool speaks_for_target(const target_reply& reply) {
    switch (reply.verdict) {
    case target_verdict::completed:
        return !reply.request_limit_invalid;
    case target_verdict::failed:
    case target_verdict::not_run:
        return reply.request_limit.has_value();
    case target_verdict::wrong_target:
    case target_verdict::malformed:
        break;
    }
    return false;
}

} // namespace

request_limit limit_tracker::known_limit(const target_incarnation& target) const {
    if (const auto saved = m_core.withheld.limit_of(target.target, target.incarnation)) {
        return *saved;
    }
    constexpr auto hash_range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const std::uint64_t hash = stable_hash(m_core.options.host.value(), stable_hash(target.target.value()));
    return request_limit{static_cast<double>(hash) / hash_range};
}

void limit_tracker::on_added(engine_target& target) {
    target.limit = known_limit(incarnation_of(target.info));
    update_share(target);
    if (target.limit.in_force()) {
        schedule_reports();
    }
}

void limit_tracker::on_removed(const engine_target& target) {
    // A limit that has ended replaces one that was saved earlier.
    if (target.limit.is_stated() || m_core.withheld.limit_of(target.info.id, target.info.incarnation)) {
        m_core.withheld.save_limit(target.info.id, target.info.incarnation, target.limit);
    }
}

void limit_tracker::update_cold(engine_target& target) {
    const double rate = target.service != nullptr ? target.service->warmup_rate : 0.0;
    const time_point until = target.warm_at();
    const bool cold = rate > 0.0 && m_core.now < until && m_core.options.protections.honour_request_limits;
    const bool was_cold = target.limit.is_cold();
    if (!cold && !was_cold) {
        return;
    }
    if (!cold) {
        report(limit_step::warm, target);
        target.limit.set_cold(m_core.now, std::nullopt, until);
        return;
    }
    if (!was_cold || until != target.limit.cold_until()) {
        m_core.schedule(until, due_kind::warmup, 0);
    }
    target.limit.set_cold(m_core.now, rate, until);
    if (!was_cold) {
        report(limit_step::cold, target);
    }
}

void limit_tracker::end_warmups() {
    for (const auto& [id, target] : m_core.targets) {
        if (target->limit.is_cold() && m_core.now >= target->limit.cold_until()) {
            update_share(*target);
        }
    }
}

void limit_tracker::update_share(engine_target& target) {
    update_cold(target);
    if (!target.limit.in_force()) {
        return;
    }
    double share = 0.0;
    if (m_core.view && m_core.view->limit_hosts) {
        // A cold target's limit holds in each second. A host's bucket holds what half a second adds, but one
        // exchange at least; so each sharing host gets two requests a second, if the limit allows that many.
        const double divided = target.limit.is_cold() ? target.limit.rate() / 2.0 : target.limit.rate();
        share = limit_share(divided, *m_core.view->limit_hosts, m_core.options.host, target.info.id,
                            target.info.connected_hosts);
    }
    if (share != target.limit.share()) {
        target.limit.set_share(m_core.now, share);
    }
}

void limit_tracker::on_reply(engine_target& target, time_point sent_at, const target_reply& reply) {
    if (reply.request_limit_invalid) {
        m_core.report_target_change(target_change::request_limit_invalid, target);
    }
    if (reply.remaining_warmup && reply.verdict != target_verdict::wrong_target &&
        reply.verdict != target_verdict::malformed) {
        target.stated_warm_at = std::max(target.stated_warm_at, m_core.now + *reply.remaining_warmup);
        update_share(target);
    }
    if (!m_core.options.protections.honour_request_limits || !speaks_for_target(reply)) {
        return;
    }
    const auto step = target.limit.on_reply(m_core.now, sent_at, reply.request_limit);
    update_share(target);
    if (step) {
        report(*step, target);
    }
    if (step || target.limit.is_report_due(m_core.now)) {
        target.limit.on_reported(m_core.now);
        m_core.actions.emplace_back(
            broadcast_request_limit{incarnation_of(target.info), target.limit.statement()});
    }
}

engine_target_pointer limit_tracker::on_report(const target_incarnation& named,
                                               const limit_statement& statement) {
    const auto found = m_core.targets.find(named.target.value());
    if (found == m_core.targets.end()) {
        request_limit limit = known_limit(named);
        limit.on_report(m_core.now, statement);
        m_core.withheld.save_limit(named.target, named.incarnation, limit);
        return nullptr;
    }
    engine_target_pointer target = found->second;
    if (target->info.incarnation != named.incarnation) {
        return nullptr;
    }
    const auto step = target->limit.on_report(m_core.now, statement);
    update_share(*target);
    if (!step) {
        return nullptr;
    }
    report(*step, *target);
    return target;
}

void limit_tracker::report(limit_step step, engine_target& target) {
    const time_point since = std::exchange(target.limit_reported_at, m_core.now);
    request_limit_report line;
    line.step = step;
    line.target = target.info.id;
    line.service = target.info.service;
    line.limit = target.limit.rate();
    line.share = target.limit.share();
    line.age = m_core.now - target.limit.statement().heard_at;
    line.use = std::exchange(target.use_under_limit, {});
    line.period = since == time_point{} ? duration{0} : m_core.now - since;
    m_core.actions.emplace_back(std::move(line));
    schedule_reports();
}

void limit_tracker::schedule_reports() {
    if (!std::exchange(m_reports_scheduled, true)) {
        m_core.schedule(m_core.now + report_interval, due_kind::limit_reports, 0);
    }
}

void limit_tracker::report_in_force() {
    m_reports_scheduled = false;
    for (const auto& [id, target] : m_core.targets) {
        if (!target->limit.in_force()) {
            continue;
        }
        schedule_reports();
        if (target->use_under_limit != limit_use{}) {
            report(limit_step::in_force, *target);
        }
    }
}

} // namespace tamarack
