#include "forwarding_world.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration handshake = 6ms;
/** Time until a started host is known to the others. */
constexpr duration discovery_delay = 500ms;

} // namespace

forwarding_world::forwarding_world(std::uint64_t seed, std::size_t hosts, forwarding_options options)
    : m_options(std::move(options)), m_next_seed(seed * 100), m_random(seed), m_hosts(hosts) {
    for (std::size_t host = 0; host < hosts; ++host) {
        start_host(host);
    }
}

void forwarding_world::start_host(std::size_t host) {
    m_options.host = host_id{"host-" + std::to_string(host)};
    m_options.data_center = m_hosts[host].data_center;
    m_hosts[host].engine = std::make_unique<forwarding_engine>(m_options, random_source{m_next_seed++});
    m_hosts[host].engine->on_lease(m_now, time_point::max());
    m_hosts[host].allowance =
        std::make_unique<allowance_share>(host_id{"host-" + std::to_string(host)}, m_options.extra.window);
}

void forwarding_world::restart_host(std::size_t host) {
    for (const auto& [connection, id] : m_hosts[host].connections) {
        --m_targets.at(id).open_connections;
    }
    std::erase_if(m_open_requests, [host](const auto& item) { return item.second.host == host; });
    m_request_limits.on_host_restarted(host);
    simulated_host next;
    next.incarnation = m_hosts[host].incarnation + 1;
    next.on_standby = m_hosts[host].on_standby;
    next.data_center = m_hosts[host].data_center;
    m_hosts[host] = std::move(next);
    start_host(host);
    publish();
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        schedule(m_now + discovery_delay, [this, other, host] { report_losses(other, host); });
    }
}

void forwarding_world::restart_all() {
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        restart_host(host);
    }
}

void forwarding_world::partition_hosts(duration lease_left) {
    m_partitioned = true;
    for (simulated_host& host : m_hosts) {
        host.engine->on_lease(m_now, m_now + lease_left);
    }
    publish();
}

void forwarding_world::remove_route(const std::string& name) {
    std::erase_if(m_table.routes, [&name](const route& item) { return item.name == name; });
}

void forwarding_world::limit_requests(const std::string& id, std::optional<double> per_second) {
    m_targets.at(target_id{id}).behaviour.request_limit = per_second;
    if (!per_second) {
        m_request_limits.on_lifted(id);
    }
}

void forwarding_world::resume_reading(const std::string& id) {
    simulated_target& target = m_targets.at(target_id{id});
    target.behaviour.reads = true;
    for (const running_work& work : std::exchange(target.unread, {})) {
        receive(target_id{id}, work);
    }
}

std::vector<testing_support::extra_load_breach> forwarding_world::extra_load_breaches() const {
    return m_extra_load.breaches({m_options.extra.ratio, m_options.extra.allowance, m_options.extra.window});
}

void forwarding_world::add_service(const std::string& service, std::size_t replicas,
                                   const world_target& behaviour) {
    m_table.services.push_back(
        {service_id{service}, "/health", static_cast<std::uint32_t>(behaviour.connections)});
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        simulated_target target;
        target.behaviour = behaviour;
        target.behaviour.pause_phase = m_random.between(duration{0}, behaviour.pause_every);
        const std::string name = service + "-" + std::to_string(replica);
        target.behaviour.info = {target_id{name},
                                 incarnation_id{1},
                                 service_id{service},
                                 endpoint{name},
                                 data_center_id{replica == 0 ? "near" : "far"},
                                 static_cast<std::uint32_t>(behaviour.slots),
                                 time_point{}};
        m_targets[target_id{name}] = std::move(target);
    }
}

route& forwarding_world::add_route(const std::string& name, const std::vector<std::string>& services) {
    route added;
    added.name = name;
    added.authority = "example";
    added.prefix = "/" + name + "/";
    for (const std::string& service : services) {
        added.services.push_back({service_id{service}, 1});
    }
    if (services.size() > 1) {
        added.destination = route_destination::shards;
        added.result_limit = 5;
    }
    added.attempts = 2;
    m_table.routes.push_back(std::move(added));
    return m_table.routes.back();
}

void forwarding_world::publish() {
    if (!m_published || !(*m_published == m_table)) {
        m_previous_tables.push_back(m_published);
        m_published = std::make_shared<const route_table>(m_table);
    }
    auto view = std::make_shared<forwarding_view>();
    view->ticket = ticket_number{1};
    view->routes = m_published;
    std::vector<host_id> names;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        names.emplace_back("host-" + std::to_string(host));
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        auto own = std::make_shared<forwarding_view>(*view);
        m_hosts[host].allowance->on_sharing_hosts(m_now,
                                                  {m_partitioned ? std::vector{names[host]} : names, {}});
        own->allowance = m_hosts[host].allowance->part(m_now);
        own->takes_callers = !m_hosts[host].on_standby;
        m_hosts[host].limit_hosts.on_hosts(m_now, m_partitioned ? std::vector{names[host]} : names,
                                           m_partitioned);
        own->limit_hosts =
            std::make_shared<const std::vector<host_id>>(m_hosts[host].limit_hosts.hosts(m_now));
        for (const auto& [id, target] : m_targets) {
            forwarding_target listed = target.behaviour.info;
            listed.connections = connection_share(static_cast<std::uint32_t>(target.behaviour.connections),
                                                  {names, {}}, names[host], id, 1h);
            listed.connected_hosts =
                connected_hosts(static_cast<std::uint32_t>(target.behaviour.connections), {names, {}});
            if (!m_hidden.contains(id) && listed.connections > 0) {
                own->targets.push_back(listed);
            }
        }
        carry_out(host, m_hosts[host].engine->on_view(m_now, std::move(own)));
    }
}

void forwarding_world::load(const std::string& route_name, double per_second, duration from, duration until,
                            const std::string& team) {
    const auto mean = duration{static_cast<std::int64_t>(1e6 / per_second)};
    for (time_point when = m_start + from + m_random.exponential(mean); when < m_start + until;
         when += m_random.exponential(mean)) {
        schedule(when, [this, route_name, team] { arrive(route_name, team); });
    }
}

void forwarding_world::at(duration when, std::function<void()> action) {
    schedule(m_start + when, std::move(action));
}

void forwarding_world::schedule(time_point when, std::function<void()> action) {
    m_events.push({std::max(when, m_now), m_next_event_order++, std::move(action)});
}

void forwarding_world::pause_hosts(duration from, duration until) {
    at(from, [this, until] { m_paused_until = m_start + until; });
}

void forwarding_world::run_until(duration end) {
    while (!m_events.empty() && m_events.top().at <= m_start + end) {
        event next = m_events.top();
        m_events.pop();
        if (next.at < m_paused_until) {
            next.at = m_paused_until;
            m_events.push(std::move(next));
            continue;
        }
        m_now = next.at;
        next.action();
    }
    m_now = m_start + end;
}

void forwarding_world::arrive(const std::string& route_name, const std::string& team,
                              std::optional<time_point> first_arrived) {
    const auto taken = std::find_if(m_published->routes.begin(), m_published->routes.end(),
                                    [&](const route& item) { return item.name == route_name; });
    if (taken == m_published->routes.end()) {
        return;
    }
    std::vector<std::size_t> active;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (!m_hosts[host].on_standby) {
            active.push_back(host);
        }
    }
    if (!active.empty()) {
        arrive_at(active[m_random.below(active.size())], route_name, false, team, first_arrived);
    }
}

void forwarding_world::send_crashing(const std::string& route_name, std::size_t host) {
    arrive_at(host, route_name, true);
}

void forwarding_world::arrive_at(std::size_t host, const std::string& route_name, bool crashes,
                                 const std::string& team, std::optional<time_point> first_arrived) {
    const auto taken = std::find_if(m_published->routes.begin(), m_published->routes.end(),
                                    [&](const route& item) { return item.name == route_name; });
    forward_request request;
    request.number = m_next_request++;
    request.id = request_id{"r" + std::to_string(request.number)};
    request.authority = "example";
    request.path = "/" + route_name + (crashes ? "/crash" : "/" + std::to_string(request.number));
    auto payload = std::make_shared<message_payload>();
    payload->target = request.path;
    request.payload = std::move(payload);
    if (crashes) {
        m_crashing_requests.insert(request.id.value());
    }
    if (!team.empty()) {
        request.credentials = {credentials_state::key, team};
    }
    const time_point first = first_arrived.value_or(m_now);
    request.remaining_time = taken->timeout - (m_now - first);
    m_open_requests[request.number] = {host, m_now, &*taken, request.id, team, first};
    for (const route_service& service : taken->services) {
        ++m_requests_for[service.service.value()];
        m_extra_load.on_request(m_now.time_since_epoch(), service.service.value());
    }
    carry_out(host, m_hosts[host].engine->on_request(m_now, std::move(request)));
}

void forwarding_world::arm_timer(std::size_t host) {
    simulated_host& owner = m_hosts[host];
    const time_point due = owner.engine->next_timer();
    if (due == time_point::max() || due >= owner.timer_at) {
        return;
    }
    owner.timer_at = due;
    schedule(due, [this, host, due] {
        if (m_hosts[host].timer_at == due) {
            m_hosts[host].timer_at = time_point::max();
            carry_out(host, m_hosts[host].engine->on_timer(m_now));
        }
    });
}

bool forwarding_world::has_connection(std::size_t host, std::size_t incarnation,
                                      target_connection connection) const {
    return m_hosts[host].incarnation == incarnation && m_hosts[host].connections.contains(connection);
}

void forwarding_world::carry_out(std::size_t host, forwarding_actions actions) {
    for (forwarding_action& action : actions) {
        if (const auto* open = std::get_if<open_target_connection>(&action)) {
            open_connection(host, *open);
        } else if (const auto* close = std::get_if<close_target_connection>(&action)) {
            const auto found = m_hosts[host].connections.find(close->connection);
            if (found != m_hosts[host].connections.end()) {
                --m_targets.at(found->second).open_connections;
                discard_waiting(host, close->connection, found->second);
                m_hosts[host].connections.erase(found);
            }
        } else if (const auto* send = std::get_if<send_target_exchange>(&action)) {
            on_exchange(host, *send);
        } else if (const auto* delivered = std::get_if<deliver_answer>(&action)) {
            on_answer(delivered->answer);
        } else if (const auto* broadcast = std::get_if<broadcast_crash_loss>(&action)) {
            m_hosts[host].crash_reports.push_back(broadcast->loss);
            for (std::size_t other = 0; other < m_hosts.size(); ++other) {
                report_losses(host, other);
            }
        } else if (const auto* locality = std::get_if<locality_changed>(&action)) {
            m_locality_changes.push_back({m_now - m_start, host, *locality});
        } else if (const auto* limit = std::get_if<broadcast_request_limit>(&action)) {
            report_limit(host, *limit);
        }
    }
    arm_timer(host);
}

void forwarding_world::report_limit(std::size_t from, const broadcast_request_limit& report) {
    if (m_partitioned || m_limit_reports_lost) {
        return;
    }
    for (std::size_t to = 0; to < m_hosts.size(); ++to) {
        if (to != from) {
            schedule(m_now + one_way, [this, to, report] {
                carry_out(
                    to, m_hosts[to].engine->on_remote_request_limit(m_now, report.target, report.statement));
            });
        }
    }
}

void forwarding_world::open_connection(std::size_t host, const open_target_connection& open) {
    const std::size_t incarnation = m_hosts[host].incarnation;
    const target_connection connection = open.connection;
    m_hosts[host].connections[connection] = open.target;
    simulated_target& target = m_targets.at(open.target);
    ++target.open_connections;
    target.max_connections = std::max(target.max_connections, target.open_connections);
    const bool down = m_now < target.down_until;
    if (target.behaviour.unresponsive || (down && target.behaviour.crashes_silently)) {
        lose_connection(host, incarnation, connection, open.limit);
    } else if (down) {
        lose_connection(host, incarnation, connection, 2 * one_way);
    } else {
        schedule(m_now + 2 * one_way + handshake, [this, host, connection, incarnation, id = open.target] {
            accept_connection(host, incarnation, connection, id);
        });
    }
}

void forwarding_world::lose_connection(std::size_t host, std::size_t incarnation,
                                       target_connection connection, duration after) {
    schedule(m_now + after, [this, host, incarnation, connection] {
        if (has_connection(host, incarnation, connection)) {
            const auto found = m_hosts[host].connections.find(connection);
            --m_targets.at(found->second).open_connections;
            m_hosts[host].connections.erase(found);
            carry_out(host, m_hosts[host].engine->on_connection_lost(m_now, connection));
        }
    });
}

/** A host reports all losses that it found to another host. */
void forwarding_world::report_losses(std::size_t from, std::size_t to) {
    if (from == to || m_partitioned || m_now < m_crash_reports_lost_until) {
        return;
    }
    schedule(m_now + one_way, [this, to, losses = m_hosts[from].crash_reports] {
        for (const crash_loss& loss : losses) {
            m_hosts[to].engine->on_remote_crash_loss(m_now, loss);
        }
    });
}

void forwarding_world::on_exchange(std::size_t host, const send_target_exchange& send) {
    const target_id id = send.exchange.target;
    const bool crashes = m_crashing_requests.contains(send.exchange.id.value());
    const running_work work{host, send.connection, send.exchange.id, m_hosts[host].incarnation, crashes};
    schedule(m_now + delay_between(host, id), [this, id, work] {
        simulated_target& target = m_targets.at(id);
        if (target.behaviour.reads) {
            receive(id, work);
        } else {
            target.unread.push_back(work);
        }
    });
}

void forwarding_world::on_answer(const forward_answer& answer) {
    const auto found = m_open_requests.find(answer.number);
    if (found == m_open_requests.end()) {
        m_violations.push_back("request " + std::to_string(answer.number) + " was answered twice");
        return;
    }
    const open_request request = found->second;
    m_open_requests.erase(found);
    if (answer.outcome == forward_outcome::not_run) {
        m_answered_not_run.insert(request.id.value());
        for (const auto& [key, count] : m_runs) {
            if (key.first == request.id.value()) {
                m_violations.push_back("request " + key.first + " was answered not_run after it ran");
            }
        }
    }
    world_result result;
    result.outcome = answer.outcome;
    result.reason = answer.reason;
    result.taken = m_now - request.arrived;
    result.covered = answer.tokens.size();
    result.shards = answer.trace.shards;
    const bool replied =
        answer.outcome == forward_outcome::merged ||
        (answer.outcome == forward_outcome::replied && answer.reason == forward_reason::none);
    result.in_objective = replied && m_now - request.first_arrived <= request.taken->objective;
    result.team = request.team;
    result.is_return = request.first_arrived != request.arrived;
    result.retry_after = answer.retry_after;
    result.priority = request.taken->priority;
    result.arrived = request.arrived;
    m_results.push_back(result);
    if (m_callers_return && answer.outcome == forward_outcome::not_run && !result.is_return) {
        return_caller(request, answer.retry_after);
    }
}

std::size_t forwarding_world::arrivals(const std::string& service) const {
    std::size_t count = 0;
    for (const auto& [id, target] : m_targets) {
        count += target.behaviour.info.service.value() == service ? target.arrivals : 0;
    }
    return count;
}

std::size_t forwarding_world::requests_for(const std::string& service) const {
    const auto found = m_requests_for.find(service);
    return found == m_requests_for.end() ? 0 : found->second;
}

std::size_t forwarding_world::runs_of(const std::string& request, const std::string& service) const {
    const auto found = m_runs.find({request, service});
    return found == m_runs.end() ? 0 : found->second;
}

std::size_t forwarding_world::max_during_backoff() const {
    std::size_t most = 0;
    for (const auto& [id, target] : m_targets) {
        for (const auto& [host, got] : target.received_in_backoff) {
            most = std::max(most, got);
        }
    }
    return most;
}

std::size_t forwarding_world::arrivals_after_leaving(const std::string& id) const {
    return m_targets.at(target_id{id}).after_leaving;
}

std::size_t forwarding_world::unanswered() const {
    return m_open_requests.size();
}

} // namespace tamarack
