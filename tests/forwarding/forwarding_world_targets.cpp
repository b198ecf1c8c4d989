#include "forwarding_world.h"

#include <cmath>
#include <utility>

namespace tamarack {

namespace {

/** Time in which exchanges sent before the reply was received may still arrive. */
constexpr duration backoff_slack = 500ms;
constexpr duration leaving_slack = 10ms;
constexpr double two_pi = 6.283185307179586;

duration scaled(duration value, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(value.count()) * factor)};
}

} // namespace

/** Connections to a target that crashes silently stay open, and nothing is received on them. */
void forwarding_world::crash_target(const target_id& id) {
    simulated_target& target = m_targets.at(id);
    ++target.incarnation;
    target.running = 0;
    target.waiting.clear();
    target.unread.clear();
    target.down_until = m_now + target.behaviour.crash_time;
    schedule(target.down_until, [this, &target] {
        ++target.behaviour.info.incarnation.value;
        publish();
    });
    if (target.behaviour.crashes_silently) {
        return;
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        for (const auto& [connection, at] : m_hosts[host].connections) {
            if (at == id) {
                lose_connection(host, m_hosts[host].incarnation, connection, one_way);
            }
        }
    }
}

void forwarding_world::receive(const target_id& id, const running_work& work) {
    simulated_target& target = m_targets.at(id);
    ++target.arrivals;
    m_extra_load.on_arrival(m_now.time_since_epoch(), target.behaviour.info.service.value(), work.id.value());
    if (work.crashes) {
        m_crashing.on_arrival(m_now.time_since_epoch(), target.behaviour.info.service.value(),
                              work.id.value());
    }
    m_request_limits.on_arrival(m_now.time_since_epoch(), id.value(), work.host);
    record_withheld_arrival(target, work.host);
    if (target.behaviour.unresponsive || m_now < target.down_until) {
        return;
    }
    const bool full = target.behaviour.full;
    if (!full && target.running < target.behaviour.slots) {
        start_work(target, work);
    } else if (!full && target.waiting.size() < target.behaviour.queue) {
        target.waiting.push_back(work);
    } else {
        reply(work, id, target_verdict::not_run);
    }
}

/** A target discards waiting work when its connection closes; work in progress is completed. */
void forwarding_world::discard_waiting(std::size_t host, target_connection connection, const target_id& id) {
    schedule(m_now + one_way, [this, host, connection, id, incarnation = m_hosts[host].incarnation] {
        std::erase_if(m_targets.at(id).waiting, [&](const running_work& work) {
            return work.host == host && work.connection == connection && work.incarnation == incarnation;
        });
    });
}

void forwarding_world::record_withheld_arrival(simulated_target& target, std::size_t host) {
    const auto backoff = target.backoffs.find(host);
    if (backoff != target.backoffs.end() && m_now > backoff->second.first + backoff_slack &&
        m_now < backoff->second.second) {
        ++target.received_in_backoff[host];
    }
    const auto announced = target.announced_leaving.find(host);
    if (announced != target.announced_leaving.end() && m_now > announced->second + leaving_slack) {
        ++target.after_leaving;
    }
}

void forwarding_world::add_withheld_fields(simulated_target& target, std::size_t host, target_reply& answer) {
    if (answer.verdict == target_verdict::not_run && target.behaviour.requested_backoff > duration{0}) {
        answer.backoff = target.behaviour.requested_backoff;
        const auto backoff = target.backoffs.try_emplace(host, m_now, m_now).first;
        if (backoff->second.second <= m_now) {
            backoff->second.first = m_now;
        }
        backoff->second.second = m_now + target.behaviour.requested_backoff;
    }
    if (target.behaviour.announces_leaving) {
        answer.leaving = true;
        target.announced_leaving.try_emplace(host, m_now);
    }
}

/** A target resets a connection beyond its limit after it is open, with the first data that it would read. */
void forwarding_world::accept_connection(std::size_t host, std::size_t incarnation,
                                         target_connection connection, const target_id& id) {
    if (!has_connection(host, incarnation, connection)) {
        return;
    }
    const simulated_target& target = m_targets.at(id);
    const bool has_queue = target.waiting.size() > target.behaviour.slots;
    const std::size_t limit = has_queue ? target.behaviour.accepted_with_queue : target.behaviour.accepted;
    const bool resets = limit > 0 && target.open_connections > limit;
    carry_out(host, m_hosts[host].engine->on_connected(m_now, connection));
    if (resets) {
        ++m_resets;
        lose_connection(host, incarnation, connection, one_way);
    }
}

duration forwarding_world::delay_between(std::size_t host, const target_id& id) const {
    const bool far = m_hosts[host].data_center != m_targets.at(id).behaviour.info.data_center;
    return far ? one_way + m_distance : one_way;
}

void forwarding_world::place_host(std::size_t host, const std::string& data_center) {
    m_hosts[host].data_center = data_center_id{data_center};
    start_host(host);
}

void forwarding_world::load_at(std::size_t host, const std::string& route_name, double per_second,
                               duration from, duration until) {
    const auto mean = duration{static_cast<std::int64_t>(1e6 / per_second)};
    for (time_point when = m_start + from + m_random.exponential(mean); when < m_start + until;
         when += m_random.exponential(mean)) {
        schedule(when, [this, host, route_name] { arrive_at(host, route_name, false); });
    }
}

double forwarding_world::far_fraction(std::size_t host, const std::string& service) const {
    double latest = 0.0;
    for (const world_locality_change& item : m_locality_changes) {
        if (item.host == host && item.change.service == service_id{service}) {
            latest = item.change.fraction;
        }
    }
    return latest;
}

duration forwarding_world::pause_left(const simulated_target& target) const {
    if (target.behaviour.pause_every == duration{0}) {
        return duration{0};
    }
    const duration phase = (m_now - m_start + target.behaviour.pause_phase) % target.behaviour.pause_every;
    return std::max(target.behaviour.pause - phase, duration{0});
}

void forwarding_world::start_work(simulated_target& target, const running_work& work) {
    ++target.running;
    if (m_answered_not_run.contains(work.id.value())) {
        m_violations.push_back("request " + work.id.value() + " ran after it was answered not_run");
    }
    ++m_runs[{work.id.value(), target.behaviour.info.service.value()}];
    if (work.crashes) {
        m_crashing.on_crash(m_now.time_since_epoch());
        crash_target(target.behaviour.info.id);
        return;
    }
    const double normal =
        std::sqrt(-2.0 * std::log(1.0 - m_random.unit())) * std::cos(two_pi * m_random.unit());
    const duration needed =
        scaled(target.behaviour.work, target.behaviour.slow * std::exp(target.behaviour.spread * normal));
    const target_id id = target.behaviour.info.id;
    schedule(m_now + pause_left(target) + needed, [this, id, work, incarnation = target.incarnation] {
        if (m_targets.at(id).incarnation == incarnation) {
            end_work(id, work);
        }
    });
}

void forwarding_world::end_work(const target_id& id, const running_work& work) {
    simulated_target& target = m_targets.at(id);
    --target.running;
    if (!target.waiting.empty()) {
        const running_work next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        start_work(target, next);
    }
    if (target.behaviour.unresponsive) {
        return;
    }
    if (m_random.chance(target.behaviour.lost_reply_share)) {
        lose_connection(work.host, work.incarnation, work.connection, one_way);
        return;
    }
    reply(work, id,
          m_random.chance(target.behaviour.failure_share) ? target_verdict::failed
                                                          : target_verdict::completed);
}

void forwarding_world::reply(const running_work& work, const target_id& id, target_verdict verdict) {
    schedule(m_now + delay_between(work.host, id), [this, work, id, verdict] {
        if (!has_connection(work.host, work.incarnation, work.connection)) {
            return;
        }
        simulated_target& target = m_targets.at(id);
        target_reply answer;
        answer.verdict = verdict;
        answer.status = verdict == target_verdict::completed ? 200 : 500;
        answer.token = id.value() + "/" + work.id.value();
        answer.body = std::string(16, 'a');
        answer.load = target_load{static_cast<std::uint32_t>(target.running),
                                  static_cast<std::uint32_t>(target.waiting.size()),
                                  static_cast<std::uint32_t>(target.behaviour.slots), 1.0};
        add_withheld_fields(target, work.host, answer);
        answer.request_limit = target.behaviour.request_limit;
        if (answer.request_limit) {
            m_request_limits.on_stated(m_now.time_since_epoch(), id.value(), work.host,
                                       *answer.request_limit);
        }
        carry_out(work.host, m_hosts[work.host].engine->on_reply(m_now, work.connection, std::move(answer)));
    });
}

} // namespace tamarack
