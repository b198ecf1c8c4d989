#include "hosts_worker.h"

#include "../process_memory.h"
#include "../server_limits.h"
#include "../system_random.h"
#include "hosts_options.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 8'192;
constexpr duration periodic_work_interval = 1s;
constexpr duration periodic_work_interval_without_leader = 200ms;
/** Time after a change of the configuration in which its copies are freed. */
constexpr duration memory_return_delay = 500ms;
constexpr duration base_inputs_interval = 20ms;
/** With more hosts, building the inputs takes longer, and while hundreds of hosts start, each message changes
 * the inputs. Therefore the interval grows with the number of hosts. */
constexpr duration inputs_interval_per_host = 500us;
/** Every host sends its known crash losses to a new host. With 300 hosts and about 150 bytes per host and
 * loss the new host receives 1.5 MB. */
constexpr std::size_t max_reported_crash_losses = 32;
/** Processor time of one exchange with a target, including its share of the request. A constant, because not
 * every platform maintains a process's processor-time clock. */
constexpr duration processor_time_per_exchange = 170us;

} // namespace

hosts_worker::hosts_worker(const settings& host_settings, incarnation_id incarnation, member_id identity,
                           metric_registry& metrics, hosts_hooks hooks)
    : m_settings(host_settings), m_incarnation(incarnation), m_identity(std::move(identity)),
      m_metrics(metrics), m_hooks(std::move(hooks)), m_thread("hosts", ring_capacity),
      m_server(m_thread, host_server_limits(host_settings),
               [this](const http_request& message, const http_responder& respond) {
                   observe_suspension(steady_now());
                   http_response response;
                   response.body = m_dispatcher.dispatch(message.body);
                   respond(std::move(response));
                   finish_event();
                   return std::function<void()>{};
               }),
      m_links(m_thread), m_control_hosts(m_settings),
      m_crash_suspicions(m_settings.host,
                         [this](const endpoint& address, const std::string& method, Json::Value parameters) {
                             m_links.send(address, method, std::move(parameters));
                         }),
      m_load_reporter(own_record_of(m_settings, incarnation, {}, {}).capacity), m_inquiry(system_random()) {
    report_refusals(m_server, server_kind::hosts, m_metrics);
    m_seeds = m_settings.seeds;
    m_suspended = suspended_time();
    register_methods();
}

outcome<endpoint> hosts_worker::listen(const endpoint& callers) {
    auto listening = m_server.listen(m_settings.listen.hosts);
    if (!succeeded(listening)) {
        return listening;
    }
    m_address = value_of(listening);
    const time_point now = steady_now();
    m_inputs_builder = std::make_unique<forwarding_inputs_builder>(m_settings, now);
    m_control = std::make_unique<control_client>(client_options_of(m_settings, m_incarnation, m_address),
                                                 system_random(), now);
    m_registry = std::make_unique<target_registry>(m_settings.host, registry_options_of(m_settings), now);
    m_detector = std::make_unique<failure_detector>(
        own_record_of(m_settings, m_incarnation, m_address, callers), seed_records_of(m_settings),
        detector_options_of(m_settings), system_random(), now);
    if (m_hooks.stored_targets != nullptr) {
        const std::vector<target_record> restored = m_hooks.stored_targets->read();
        m_registry->restore(now, restored);
        log_state_change(log_level::info, "targets_recalled", {},
                         {{"count", std::to_string(restored.size())}});
    }
    m_timer = std::make_unique<timer_loop>(
        m_thread,
        [this] {
            return std::min({m_control->next_timer(), m_registry->next_timer(), m_detector->next_timer(),
                             m_next_periodic_work, m_next_inputs, m_directory_expired_at,
                             m_crash_suspicions.next_timer(),
                             m_team_server ? m_team_server->next_timer() : time_point::max()});
        },
        [this](time_point now_due) { on_timer(now_due); });
    return listening;
}

void hosts_worker::start() {
    m_thread.start();
    m_thread.try_post([this] { finish_event(); });
}

void hosts_worker::stop() {
    m_thread.stop();
}

void hosts_worker::register_methods() {
    host_method_handlers handlers;
    handlers.raft = [this](raft_envelope envelope) {
        if (m_hooks.to_raft) {
            m_hooks.to_raft(std::move(envelope));
        }
    };
    handlers.control = [this](const control_message& message) { route_control(message); };
    handlers.membership = [this](const membership_message& message) {
        carry_out(m_detector->on_message(steady_now(), message, *m_registry));
    };
    handlers.quarantine = [this](const quarantine_notice& notice) {
        const time_point now = steady_now();
        const crash_loss loss{notice.content, notice.lost, now - notice.age};
        m_crashes.add(now, loss);
        m_hooks.quarantine(loss);
    };
    handlers.request_limit = [this](const request_limit_notice& notice) {
        m_hooks.request_limit(notice.target, {notice.per_second, steady_now() - notice.age});
    };
    handlers.team_use_report = [this](const team_use& report) { on_team_use(report); };
    handlers.team_limit_grant = [this](const team_grant& grant) { on_team_grant(grant); };
    handlers.identity = [this](const host_identity& identity) {
        m_control_hosts.on_identity(steady_now(), identity.member, identity.data_center);
    };
    handlers.inquiry = [this](const configuration_inquiry& inquiry) { answer_peer(inquiry); };
    handlers.unreadable = [this](const std::string& method, const error& reason) {
        log_state_change(log_level::warning, "host_message_unreadable", m_control->current().number,
                         {{"method", method}, {"reason", reason.message}});
    };
    register_host_methods(m_dispatcher, handlers);
    m_dispatcher.on(suspicion_method, [this](const Json::Value& parameters) {
        m_crash_suspicions.on_notification(
            parameters, [this](const host_id& host) { return address_of(host); }, m_hooks.crash_suspicion);
    });
    m_dispatcher.on(suspicion_confirmation_method, [this](const Json::Value& parameters) {
        m_crash_suspicions.on_confirmation(parameters);
    });
}

std::map<host_id, endpoint> hosts_worker::other_hosts_of(const service_id& service) const {
    std::map<host_id, endpoint> others;
    for (const host_record& host : m_detector->hosts()) {
        const bool other = host.state == host_state::alive && host.host != m_settings.host;
        if (other && is_assigned(host.host, service)) {
            others[host.host] = host.hosts_address;
        }
    }
    return others;
}

/** Passes the running control hosts and the seeds to the control client. */
void hosts_worker::update_control_hosts() {
    std::vector<host_id> hosts;
    for (const host_record& known : m_detector->hosts()) {
        const bool running = known.state == host_state::alive || known.state == host_state::suspect;
        if (known.control && running) {
            hosts.push_back(known.host);
        }
    }
    for (const seed_host& seed : m_seeds) {
        if (std::find(hosts.begin(), hosts.end(), seed.host) == hosts.end()) {
            hosts.push_back(seed.host);
        }
    }
    m_control->set_control_hosts(std::move(hosts));
}

void hosts_worker::on_timer(time_point now) {
    observe_suspension(now);
    carry_out(m_control->on_timer(now));
    m_registry->on_timer(now);
    m_crash_suspicions.on_timer(now);
    announce_team_changes(now);
    carry_out(m_detector->on_timer(now, *m_registry));
    if (now >= m_directory_expired_at) {
        m_directory_expired_at = time_point::max();
        carry_out(m_control->set_draining(now, true));
    }
    if (now >= m_next_periodic_work) {
        m_next_periodic_work = now + (m_control->leader().empty() ? periodic_work_interval_without_leader
                                                                  : periodic_work_interval);
        run_periodic_work(now);
    }
    if (m_settings.edge.kind == edge_kind::platform) {
        query_peer(now);
    }
    finish_event();
    if (now >= m_next_inputs) {
        send_inputs(now);
    }
    enter_directory(now);
    if (m_inputs_builder->on_time(now)) {
        m_inputs_stale = true;
        finish_event();
    }
}

void hosts_worker::run_periodic_work(time_point now) {
    m_links.drop_unused(now);
    publish_load(now);
    m_metrics.set(gauge_id::hosts_known, static_cast<double>(m_detector->hosts().size()));
    m_metrics.set(gauge_id::targets_known, static_cast<double>(m_registry->size()));
    const memory_use memory = read_memory_use();
    m_metrics.set(gauge_id::memory_resident_bytes, static_cast<double>(memory.resident));
    m_metrics.set(gauge_id::memory_allocated_bytes, static_cast<double>(memory.allocated));
    m_metrics.set(gauge_id::ticket_in_force_number, static_cast<double>(m_control->current().number.value));
    if (m_identity.host.empty()) {
        return;
    }
    m_control_hosts.on_identity(now, m_identity, m_settings.data_center);
    send_identity();
    const std::vector<member_id> first = m_control_hosts.first_voters(m_control->leader());
    if (!first.empty() && m_hooks.bootstrap) {
        m_hooks.bootstrap(first);
    }
    if (m_settings.formation.automatic && m_control->leader() == m_settings.host &&
        m_hooks.voter_candidates) {
        m_hooks.voter_candidates(m_control_hosts.candidates(now));
    }
    store_targets(now);
}

void hosts_worker::store_targets(time_point now) {
    const bool due = m_hooks.stored_targets != nullptr && m_registry->generation() != m_stored_generation &&
                     m_hooks.stored_targets->is_due(now);
    if (!due) {
        return;
    }
    m_stored_generation = m_registry->generation();
    std::vector<target_record> usable;
    m_registry->for_each([&usable](const target_record& record, time_point /*changed_at*/) {
        if (record.alive && record.latest.state == target_state::ready && !record.registrar.empty()) {
            usable.push_back(record);
        }
    });
    m_hooks.stored_targets->save(now, std::move(usable));
}

/** Changes can come in quick succession, so one call serves all of a short time. */
void hosts_worker::return_memory_later() {
    if (std::exchange(m_memory_return_pending, true)) {
        return;
    }
    m_thread.run_at(steady_now() + memory_return_delay, [this] {
        m_memory_return_pending = false;
        return_free_memory();
    });
}

void hosts_worker::carry_out(control_client_actions actions) {
    for (control_client_action& action : actions) {
        std::visit(
            overloaded{
                [this](const send_to_control& send) {
                    send_control(send.to, address_of(send.to), send.message);
                },
                [this](const configuration_changed& /*changed*/) {
                    apply_drain_order(steady_now());
                    m_inputs_stale = true;
                    send_inputs(steady_now());
                    log_configuration_step("adopted", m_control->current().number,
                                           {"epoch", std::to_string(m_control->assigned().epoch)});
                    return_memory_later();
                },
                [this](const lease_changed& lease) { m_hooks.lease(lease.ends_at + m_suspended); },
                [this](claim_answered& answered) {
                    m_metrics.count(counter_id::claims_total, to_name(answered.answer.verdict));
                    m_hooks.claim_answer_for(answered.request, std::move(answered.answer));
                },
                [this](const claim_uncertain& uncertain) { m_hooks.claim_failed_for(uncertain.request); },
            },
            action);
    }
}

void hosts_worker::carry_out(membership_actions actions) {
    for (membership_action& action : actions) {
        std::visit(overloaded{
                       [this](const send_membership& send) {
                           m_links.send(send.address, membership_method,
                                        encode_membership_message(send.message));
                       },
                       [this](const multicast_membership& multicast) {
                           const Json::Value message = encode_membership_message(multicast.push);
                           for (const multicast_membership::receiver& receiver : multicast.to) {
                               m_links.send(receiver.address, membership_method, message);
                           }
                       },
                       [this](const host_changed& changed) { on_host_changed(changed.record); },
                   },
                   action);
    }
}

void hosts_worker::send_crash_loss(const host_record& host, const crash_loss& loss) {
    const quarantine_notice notice{loss.content, steady_now() - loss.found_at, loss.lost};
    m_links.send(host.hosts_address, quarantine_method, encode_quarantine(notice));
}

void hosts_worker::on_host_changed(const host_record& record) {
    m_hosts_stale = true;
    const auto [seen, is_new] = m_seen_hosts.try_emplace(record.host, record);
    const bool only_load_changed = !is_new && seen->second.incarnation == record.incarnation &&
                                   seen->second.state == record.state &&
                                   seen->second.draining == record.draining;
    const bool new_host =
        is_new || seen->second.incarnation != record.incarnation || seen->second.state != host_state::alive;
    seen->second = record;
    if (only_load_changed) {
        return;
    }
    if (new_host && record.state == host_state::alive && record.host != m_settings.host) {
        for (const crash_loss& loss : m_crashes.losses(steady_now(), max_reported_crash_losses)) {
            send_crash_loss(record, loss);
        }
    }
    if (m_settings.formation.automatic) {
        update_control_hosts();
    }
    log_state_change(log_level::info, "host_changed", m_control->current().number,
                     {{"about", record.host.value()},
                      {"state", std::string{to_name(record.state)}},
                      {"draining", record.draining ? "true" : "false"}});
    if (record.state == host_state::dead || record.state == host_state::left) {
        m_registry->on_host_lost(steady_now(), record.host);
        m_seen_hosts.erase(record.host);
    }
}

/** Publishes this host's processor load at the platform edge, where the active hosts are chosen by load. */
void hosts_worker::publish_load(time_point now) {
    if (m_settings.edge.kind != edge_kind::platform) {
        return;
    }
    const auto exchanges = static_cast<duration::rep>(m_hooks.exchange_count());
    if (const auto load = m_load_reporter.observe(now, exchanges * processor_time_per_exchange)) {
        carry_out(m_detector->set_load(now, *load));
        m_hosts_stale = true;
    }
}

void hosts_worker::finish_event() {
    if (m_team_server && !leads_teams(steady_now())) {
        m_team_server.reset();
    }
    if (m_detector->isolated() != m_isolated) {
        m_isolated = m_detector->isolated();
        m_registry->on_isolation(steady_now(), m_isolated);
        log_state_change(m_isolated ? log_level::warning : log_level::info, "isolation_changed",
                         m_control->current().number, {{"isolated", m_isolated ? "true" : "false"}});
    }
    if (m_registry->changes_due()) {
        carry_out(m_detector->on_timer(steady_now(), *m_registry));
    }
    if (m_registry->generation() != m_sent_generation) {
        m_inputs_stale = true;
    }
    const bool due = m_inputs_stale || m_hosts_stale;
    if (due && m_next_inputs == time_point::max()) {
        const auto known = static_cast<duration::rep>(m_detector->known_hosts());
        m_next_inputs = steady_now() + base_inputs_interval + known * inputs_interval_per_host;
    }
    m_timer->rearm();
}

void hosts_worker::send_control(const host_id& to, const endpoint& address, const control_message& message) {
    if (to == m_settings.host) {
        m_thread.try_post([this, message] {
            route_control(message);
            finish_event();
        });
        return;
    }
    control_message_parts parts = encode_control_message_parts(message);
    const bool has_configuration = parts.configuration != nullptr;
    m_links.send(address.empty() ? address_of(to) : address, control_method, std::move(parts.members),
                 {std::move(parts.configuration_member), std::move(parts.configuration)});
    if (has_configuration) {
        m_metrics.count(counter_id::configurations_sent_total);
        log_state_change(
            log_level::info, "configuration_sent", configuration_of(message)->number,
            {{"to", to.value()}, {"sending_kib", std::to_string(m_links.shared_bytes() / kibibyte)}});
    }
}

void hosts_worker::route_control(const control_message& message) {
    const bool for_control_host =
        std::holds_alternative<renew_lease>(message) || std::holds_alternative<release_lease>(message) ||
        std::holds_alternative<request_claim>(message) || std::holds_alternative<report_result>(message);
    if (!for_control_host) {
        carry_out(m_control->on_message(steady_now(), message));
        return;
    }
    if (m_hooks.to_control) {
        m_hooks.to_control(message);
    }
}

endpoint hosts_worker::address_of(const host_id& host) const {
    for (const seed_host& seed : m_seeds) {
        if (seed.host == host) {
            return seed.address;
        }
    }
    if (const host_record* known = m_detector->find(host)) {
        return known->hosts_address;
    }
    if (m_settings.formation.automatic) {
        const std::string& own = m_settings.listen.hosts.value();
        return endpoint{host.value() + own.substr(own.rfind(':'))};
    }
    return {};
}

hosts_overview hosts_worker::overview() const {
    hosts_overview result;
    result.hosts = m_detector->hosts();
    result.targets = m_registry->all();
    result.ticket = m_control->current().number;
    result.ticket_content = m_control->current().content;
    result.assigned = m_control->assigned();
    result.assignment_settled = m_control->assignment_settled();
    result.lease_ends_at = m_control->lease_ends_at();
    result.leader = m_control->leader();
    result.isolated = m_isolated;
    result.identities = m_control_hosts.identities();
    result.traffic = m_links.counts();
    return result;
}

} // namespace tamarack
