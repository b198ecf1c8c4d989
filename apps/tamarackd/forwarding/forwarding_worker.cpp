#include "forwarding_worker.h"

#include "../server_limits.h"
#include "../system_random.h"
#include "../team_tolerance.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 4'096;
/** Maximum number of hosts in a directory reply. */
constexpr std::size_t max_entries = 64;
/** Rate limits for log lines about this host's own crash evidence, and separately for losses that other hosts
 * report: when many targets crash, there is a burst of lines. Metrics count every step. */
constexpr double crash_lines_per_second = 10.0;
constexpr double crash_lines_burst = 100.0;
/** Rate limit for log lines about locality: with a surge, the fractions of all services change each second.
 */
constexpr double locality_lines_per_second = 10.0;
constexpr double locality_lines_burst = 100.0;

/** Part of the revocation time for which a lease confirms keys; the rest covers requests under way. */
constexpr double key_lease_share = 0.6;

forwarding_options options_of(const settings& host_settings) {
    forwarding_options options;
    options.host = host_settings.host;
    options.data_center = host_settings.data_center;
    options.extra = {host_settings.forwarding.extra_ratio, host_settings.forwarding.extra_allowance,
                     host_settings.forwarding.extra_window};
    options.locality = host_settings.forwarding.locality;
    options.mechanisms = host_settings.forwarding.mechanisms;
    const duration revocation = host_settings.teams.revocation_time;
    const auto key_lease = std::chrono::duration_cast<duration>(key_lease_share * revocation);
    options.keys_need_lease = revocation > duration{0};
    options.team_tolerance = team_tolerance_of(host_settings);
    options.key_lease_margin = std::max(host_settings.times.lease_length - key_lease, duration{0});
    return options;
}

} // namespace

forwarding_worker::forwarding_worker(const settings& host_settings, edge_protocol edge,
                                     metric_registry& metrics, forwarding_hooks hooks)
    : m_settings(host_settings), m_edge(std::move(edge)), m_metrics(metrics),
      m_thread("forwarding", ring_capacity), m_engine(options_of(host_settings), system_random()),
      m_connections(
          m_thread, m_edge, host_settings.limits.reply_bytes,
          {[this](target_connection number) { carry_out(m_engine.on_connected(event_time(), number)); },
           [this](target_connection number, connection_end end) {
               m_metrics.count(counter_id::connections_closed_total, to_name(end));
               carry_out(m_engine.on_connection_lost(event_time(), number, std::string{to_name(end)},
                                                     end == connection_end::request_unsent));
           },
           [this](target_connection number, target_reply reply) {
               m_metrics.count(counter_id::exchanges_total, to_name(reply.verdict));
               carry_out(m_engine.on_reply(event_time(), number, std::move(reply)));
           },
           [this](const exchange_anomaly& anomaly) { log_anomaly(anomaly); }}),
      m_timer(
          m_thread, [this] { return m_engine.next_timer(); },
          [this](time_point /*now*/) { carry_out(m_engine.on_timer(event_time())); }),
      m_callers(m_thread, caller_limits_of(host_settings),
                [this](http_request message, const http_responder& respond) {
                    return on_request(std::move(message), respond);
                }),
      m_readiness(m_thread, server_limits_of(host_settings, server_kind::readiness),
                  [this](const http_request& message, const http_responder& respond) {
                      on_readiness(message, respond);
                      return std::function<void()>{};
                  }),
      m_directory(m_thread, server_limits_of(host_settings, server_kind::directory),
                  [this](const http_request& message, const http_responder& respond) {
                      on_directory(message, respond);
                      return std::function<void()>{};
                  }),
      m_crash_lines(crash_lines_per_second, crash_lines_burst),
      m_remote_crash_lines(crash_lines_per_second, crash_lines_burst),
      m_locality_lines(locality_lines_per_second, locality_lines_burst), m_random(system_random()),
      m_hooks(std::move(hooks)) {
    report_refusals(m_callers, server_kind::callers, m_metrics);
    report_refusals(m_readiness, server_kind::readiness, m_metrics);
    report_refusals(m_directory, server_kind::directory, m_metrics);
}

outcome<endpoint> forwarding_worker::start() {
    if (auto readiness = m_readiness.listen(m_settings.edge.readiness); !succeeded(readiness)) {
        return readiness;
    }
    if (auto directory = m_directory.listen(m_settings.edge.directory); !succeeded(directory)) {
        return directory;
    }
    auto listening = m_callers.listen(m_settings.listen.callers);
    m_thread.start();
    return listening;
}

void forwarding_worker::stop() {
    m_thread.stop();
}

bool forwarding_worker::post_inputs(forwarding_inputs inputs) {
    return m_thread.try_post([this, inputs = std::move(inputs)] {
        const bool new_routes = !m_inputs.view || m_inputs.view->routes != inputs.view->routes;
        m_inputs = inputs;
        if (new_routes) {
            apply_limits();
        }
        carry_out(m_engine.on_view(event_time(), m_inputs.view));
    });
}

void forwarding_worker::apply_limits() {
    http_server_limits limits = caller_limits_of(m_settings);
    if (m_inputs.view->routes) {
        const caller_limits& route_limits = m_inputs.view->routes->limits;
        limits.header_bytes = route_limits.header_bytes > 0 ? route_limits.header_bytes : limits.header_bytes;
        limits.body_bytes = route_limits.body_bytes > 0 ? route_limits.body_bytes : limits.body_bytes;
        limits.idle = route_limits.idle_time > duration{0} ? route_limits.idle_time : limits.idle;
    }
    m_callers.set_limits(limits);
}

bool forwarding_worker::post_lease(time_point ends_at) {
    return m_thread.try_post([this, ends_at] {
        m_engine.on_lease(event_time(), ends_at);
        m_timer.rearm();
    });
}

bool forwarding_worker::post_remote_crash_loss(crash_loss loss) {
    return m_thread.try_post([this, loss = std::move(loss)] {
        if (m_remote_crash_lines.take(steady_now())) {
            log_state_change(log_level::info, "crashing_request_told",
                             m_inputs.view ? m_inputs.view->ticket : ticket_number{},
                             {{"content", loss.content.hex()},
                              {"target", loss.lost.target.value()},
                              {"age_ms", std::to_string((steady_now() - loss.found_at) / 1ms)}});
        }
        m_engine.on_remote_crash_loss(steady_now(), loss);
    });
}

bool forwarding_worker::post_remote_request_limit(target_incarnation target, limit_statement statement) {
    return m_thread.try_post([this, target = std::move(target), statement] {
        carry_out(m_engine.on_remote_request_limit(event_time(), target, statement));
    });
}

bool forwarding_worker::post_team_grant(team_grant grant) {
    return m_thread.try_post(
        [this, grant = std::move(grant)] { carry_out(m_engine.on_team_grant(event_time(), grant)); });
}

bool forwarding_worker::post_leaving() {
    return m_thread.try_post([this] {
        m_leaving = true;
        m_callers.close_after_responses();
    });
}

bool forwarding_worker::post_drain(std::function<void()> drained) {
    return m_thread.try_post([this, drained = std::move(drained)] {
        m_drained = drained;
        m_callers.stop_accepting();
        check_drained();
    });
}

bool forwarding_worker::post_close(std::function<void()> closed) {
    return m_thread.try_post([this, closed = std::move(closed)] { m_callers.close_connections(closed); });
}

time_point forwarding_worker::event_time() {
    if (m_settings.teams.revocation_time > duration{0}) {
        m_engine.on_suspended(suspended_time());
    }
    return steady_now();
}

std::function<void()> forwarding_worker::on_request(http_request message, const http_responder& respond) {
    auto read = m_edge.read_request(std::move(message));
    if (!succeeded(read)) {
        respond(m_edge.write_bad_request(error_of(read)));
        return nullptr;
    }
    forward_request request = value_of(std::move(read));
    const forward_number number = m_next_request++;
    request.number = number;
    m_waiting.emplace(number, respond);
    carry_out(m_engine.on_request(event_time(), std::move(request)));
    return [this, number] {
        m_waiting.erase(number);
        carry_out(m_engine.on_caller_gone(event_time(), number));
    };
}

void forwarding_worker::on_readiness(const http_request& message, const http_responder& respond) {
    const bool ready = m_edge.is_readiness_call(message) && m_inputs.in_directory && !m_leaving;
    respond(m_edge.write_readiness(ready));
}

void forwarding_worker::on_directory(const http_request& message, const http_responder& respond) {
    directory_reply reply;
    reply.ttl = m_settings.times.directory_keep;
    const auto call = m_edge.read_directory_call(message);
    if (call && m_inputs.entries) {
        reply.addresses = sample_entry_addresses(*m_inputs.entries, m_random, max_entries);
    }
    respond(m_edge.write_directory_reply(reply));
}

void forwarding_worker::carry_out(forwarding_actions actions) {
    for (forwarding_action& action : actions) {
        std::visit(
            overloaded{
                [this](const open_target_connection& open) {
                    m_metrics.count(counter_id::connections_opened_total);
                    m_connections.open(open);
                },
                [this](const close_target_connection& close) { m_connections.close(close.connection); },
                [this](const send_target_exchange& send) {
                    ++m_exchanges;
                    m_metrics.count(counter_id::exchanges_by_distance_total, send.far ? "far" : "near");
                    m_connections.send(send);
                },
                [this](deliver_answer& delivered) { deliver(std::move(delivered.answer)); },
                [this](const crashing_content_found& found) {
                    log_state_change(log_level::warning, "crashing_request_found", m_inputs.view->ticket,
                                     {{"content", found.content.hex()}, {"target", found.target.value()}});
                },
                [this](const broadcast_crash_loss& report) { m_hooks.broadcast_crash_loss(report.loss); },
                [this](const crash_evidence_report& report) { log_crash_evidence(report); },
                [this](const extra_load_report& report) { log_extra_load(report); },
                [this](const broadcast_request_limit& report) { m_hooks.report_request_limit(report); },
                [this](report_team_use& use) { m_hooks.report_team_use(std::move(use.report)); },
                [this](const request_limit_report& report) { log_request_limit(report); },
                [this](const team_gave_way& refused) { log_team_gave_way(refused); },
                [this](const locality_changed& changed) { log_locality(changed); },
                [this](const target_changed& changed) { log_target_change(changed); },
                [this](const target_leaving& left) {
                    m_hooks.report_target_leaving(left.target, left.incarnation);
                },
            },
            action);
    }
    m_timer.rearm();
    check_drained();
}

void forwarding_worker::log_target_change(const target_changed& changed) {
    m_metrics.count(counter_id::target_changes_total, to_name(changed.change));
    log_state_change(log_level::info, "target_changed", m_inputs.view->ticket,
                     {{"target", changed.target.value()},
                      {"service", changed.service.value()},
                      {"change", std::string{to_name(changed.change)}},
                      {"failures", std::to_string(changed.failures)},
                      {"for_ms", std::to_string(changed.until / 1ms)}});
}

void forwarding_worker::log_locality(const locality_changed& changed) {
    m_metrics.count(counter_id::locality_steps_total, to_name(changed.step));
    if (!m_locality_lines.take(steady_now())) {
        return;
    }
    log_state_change(log_level::info, "locality_changed", m_inputs.view->ticket,
                     {{"service", changed.service.value()},
                      {"step", std::string{to_name(changed.step)}},
                      {"fraction", std::to_string(changed.fraction)},
                      {"near_late", std::to_string(changed.near_late)},
                      {"far_late", std::to_string(changed.far_late)},
                      {"near_load", std::to_string(changed.near_load)},
                      {"far_load", std::to_string(changed.far_load)}});
}

void forwarding_worker::log_crash_evidence(const crash_evidence_report& report) {
    m_metrics.count(counter_id::crash_evidence_total, to_name(report.step));
    if (!m_crash_lines.take(steady_now())) {
        return;
    }
    log_state_change(log_level::info, "crash_evidence", m_inputs.view->ticket,
                     {{"step", std::string{to_name(report.step)}},
                      {"content", report.content.hex()},
                      {"request", report.request.value()},
                      {"target", report.target.value()},
                      {"targets", std::to_string(report.targets)}});
}

void forwarding_worker::log_extra_load(const extra_load_report& report) {
    m_metrics.count(counter_id::repeats_refused_total, {}, static_cast<double>(report.refused));
    log_state_change(log_level::info, "extra_load", m_inputs.view->ticket,
                     {{"service", report.service.value()},
                      {"requests", std::to_string(report.requests)},
                      {"repeats", std::to_string(report.extra_exchanges)},
                      {"refused", std::to_string(report.refused)},
                      {"allowance_part", std::to_string(report.allowance_part)},
                      {"record_age_ms", std::to_string(report.counting_for / 1ms)}});
}

void forwarding_worker::log_team_gave_way(const team_gave_way& refused) {
    m_metrics.count(counter_id::gave_way_total);
    if (!m_gave_way_lines.take(steady_now())) {
        return;
    }
    log_state_change(log_level::info, "team_gave_way", m_inputs.view->ticket,
                     {{"team", refused.team},
                      {"service", refused.service.value()},
                      {"wait_ms", std::to_string(refused.expected_wait / 1ms)},
                      {"fraction", std::to_string(refused.fraction)}});
}

void forwarding_worker::log_request_limit(const request_limit_report& report) {
    m_metrics.count(counter_id::request_limit_steps_total, to_name(report.step));
    m_metrics.count(counter_id::exchanges_under_limit_total, {}, static_cast<double>(report.use.sent));
    log_state_change(log_level::info, "request_limit", m_inputs.view->ticket,
                     {{"step", std::string{to_name(report.step)}},
                      {"target", report.target.value()},
                      {"service", report.service.value()},
                      {"limit_per_s", std::to_string(report.limit)},
                      {"share", std::to_string(report.share)},
                      {"age_ms", std::to_string(report.age / 1ms)},
                      {"sent", std::to_string(report.use.sent)},
                      {"repeats", std::to_string(report.use.extra)},
                      {"withheld", std::to_string(report.use.withheld)},
                      {"period_ms", std::to_string(report.period / 1ms)}});
}

void forwarding_worker::log_anomaly(const exchange_anomaly& anomaly) {
    m_metrics.count(counter_id::target_anomalies_total, anomaly.cause);
    log_state_change(log_level::info, "target_anomaly",
                     m_inputs.view ? m_inputs.view->ticket : ticket_number{},
                     {{"cause", anomaly.cause},
                      {"target", anomaly.target.value()},
                      {"connection", std::to_string(anomaly.connection)},
                      {"exchanges", std::to_string(anomaly.exchanges)},
                      {"request", anomaly.request.value()},
                      {"awaits_reply", anomaly.awaits_reply ? "true" : "false"},
                      {"named_request", anomaly.named_request.value()},
                      {"status", std::to_string(anomaly.status)}});
}

void forwarding_worker::deliver(forward_answer answer) {
    m_metrics.count(counter_id::requests_total, to_name(answer.outcome));
    if (answer.reason != forward_reason::none) {
        m_metrics.count(counter_id::refusals_total, to_name(answer.reason));
    }
    m_metrics.observe(histogram_id::request_duration_seconds, answer.trace.taken, answer.trace.route);
    m_metrics.count(counter_id::hedges_total, {}, static_cast<double>(answer.trace.hedges));
    m_metrics.count(counter_id::retries_total, {}, static_cast<double>(answer.trace.retries));
    m_log.write(steady_now(), answer);
    const auto waiting = m_waiting.find(answer.number);
    if (waiting == m_waiting.end()) {
        return;
    }
    const http_responder respond = std::move(waiting->second);
    m_waiting.erase(waiting);
    respond(m_edge.write_answer(std::move(answer)));
}

void forwarding_worker::check_drained() {
    if (m_drained && m_engine.unanswered() == 0) {
        const auto drained = std::exchange(m_drained, nullptr);
        drained();
    }
}

} // namespace tamarack
