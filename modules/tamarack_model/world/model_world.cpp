#include "model_world.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr duration drain_time = 5s;
constexpr duration restart_delay = 500ms;

std::uint32_t divide(std::uint32_t whole, std::size_t parts, std::size_t part) {
    const auto count = static_cast<std::uint32_t>(parts);
    return whole / count + (part < whole % count ? 1U : 0U);
}

std::uint32_t share_of(std::uint32_t whole, std::size_t host, std::size_t ordinal, std::size_t hosts) {
    return host < hosts ? divide(whole, hosts, (host + ordinal) % hosts) : 0;
}

} // namespace

double capacity_per_second(const world_options& options) {
    const double slots = static_cast<double>(options.slots) * options.replicas;
    const double mean = static_cast<double>(options.times.mean_with_stragglers().count()) / 1e6;
    return slots / mean;
}

model_world::model_world(world_options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_sharing_hosts(m_options.hosts),
      m_previous_sharing_hosts(m_options.hosts),
      m_load_report([](const model_target& target) { return target.running(); }) {
    add_targets();
    add_hosts();
    publish();
}

void model_world::add_targets() {
    const auto& centers = m_options.network.data_centers;
    const target_callbacks callbacks{
        [this](const link_id& id, exchange_reply reply) { deliver_reply(id, std::move(reply)); },
        [this](const link_id& id) { deliver_lost(id); },
        [this](const std::string& body) { on_crash(body); },
        [this](const exchange& started) { on_ran(started); },
    };
    for (const auto& map : m_options.service.maps) {
        for (std::size_t shard = 0; shard < map.shards.size(); ++shard) {
            for (std::uint32_t replica = 0; replica < m_options.replicas; ++replica) {
                target_profile profile;
                profile.shard = map.shards[shard];
                profile.name = target_id{map.shards[shard].value() + "-" + std::to_string(replica)};
                profile.ordinal = replica;
                profile.data_center = centers[(shard + replica) % centers.size()];
                profile.sample_key = stable_hash(profile.name.value());
                profile.slots = m_options.slots;
                profile.connections = m_options.connections;
                profile.connection_cost = m_options.connection_cost;
                m_target_index[profile.name.value()] = m_targets.size();
                m_targets.push_back(std::make_unique<model_target>(m_events, profile, m_options.times,
                                                                   m_options.seed, callbacks));
                m_targets.back()->versions = {{index_version{"v1"}, map.name}};
            }
        }
    }
}

void model_world::on_crash(const std::string& body) {
    ++m_report.crashes[body];
    m_events.after(0ms, [this] { publish(); });
    m_events.after(restart_delay, [this] {
        for (const auto& target : m_targets) {
            if (!target->is_up()) {
                target->start();
            }
        }
        publish();
    });
}

void model_world::add_hosts() {
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        const std::uint64_t seed = m_options.seed * 1'000 + index + 1;
        m_hosts.push_back(std::make_unique<model_host>(m_events, host_id{"h" + std::to_string(index)},
                                                       m_options.engine, seed, make_action_handlers(index)));
        m_hosts.back()->dispatch(
            [](query_engine& engine, time_point now) { return engine.on_lease(now, time_point::max()); });
    }
}

action_handlers model_world::make_action_handlers(std::size_t host) {
    return {
        [this, host](const open_connection& action) { on_open(host, action); },
        [this, host](const close_connection& action) { on_close(host, action); },
        [this, host](const send_exchange& action) { on_send(host, action); },
        [this, host](const cancel_exchange& action) { on_cancel(host, action); },
        [this, host](const probe_connection& action) { on_probe(host, action); },
        [this, host](const commit_claim& action) { on_claim(host, action); },
        [this](const record_claim_result& action) {
            m_events.after(m_options.claim_delay,
                           [this, ended = action.ended] { m_ledger.on_result(ended); });
        },
        [this, host](const broadcast_crash_suspicion& action) { on_crash_suspicion(host, action); },
        [this](const broadcast_quarantine& action) {
            for (const auto& other : m_hosts) {
                m_events.after(m_options.view_delay, [receiver = other.get(), request = action.request] {
                    receiver->dispatch([&](query_engine& engine, time_point now) {
                        return engine.on_quarantine(now, request);
                    });
                });
            }
        },
        [this](const answer_caller& action) { on_answer(action); },
    };
}

duration model_world::one_way(std::size_t host, const model_target& target) const {
    const auto& network = m_options.network;
    const auto& own = network.data_centers[host % network.data_centers.size()];
    return own == target.profile().data_center ? network.local_one_way : network.remote_one_way;
}

replica_view model_world::view_of(std::size_t host, const model_target& target) const {
    const target_profile& profile = target.profile();
    replica_view view;
    view.target = profile.name;
    view.incarnation = target.incarnation();
    view.address = endpoint{profile.name.value()};
    view.data_center = profile.data_center;
    view.shard = profile.shard;
    view.versions = target.versions;
    view.slots = std::min(share_of(profile.slots, host, profile.ordinal, m_sharing_hosts),
                          share_of(profile.slots, host, profile.ordinal, m_previous_sharing_hosts));
    view.connections =
        std::min(share_of(profile.connections, host, profile.ordinal, m_sharing_hosts),
                 share_of(profile.connections, host, profile.ordinal, m_previous_sharing_hosts));
    view.distance = one_way(host, target) == m_options.network.local_one_way ? 0 : 1;
    view.reported_load = m_load_report(target);
    view.reported_at = m_events.now();
    return view;
}

serving_view_pointer model_world::make_view(std::size_t host) const {
    auto view = std::make_shared<serving_view>();
    view->ticket = {1};
    service_view& service = view->services[m_options.service.id];
    service.definition = m_options.service;
    for (const auto& target : m_targets) {
        if (target->is_up() && !target->draining) {
            service.replicas.push_back(view_of(host, *target));
        }
    }
    return view;
}

void model_world::publish() {
    const duration delay = m_events.now() == time_point{} ? 0ms : m_options.view_delay;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        m_events.after(delay, [host = m_hosts[index].get(), view = make_view(index)] {
            host->dispatch([&](query_engine& engine, time_point now) { return engine.on_view(now, view); });
        });
    }
}

void model_world::change_sharing_hosts(std::size_t hosts) {
    if (m_previous_sharing_hosts != m_sharing_hosts || hosts == m_sharing_hosts) {
        return;
    }
    m_sharing_hosts = hosts;
    publish();
    m_events.after(m_options.view_delay + m_options.deadline, [this] {
        m_previous_sharing_hosts = m_sharing_hosts;
        publish();
    });
}

void model_world::silence_connections(const model_target& target, double share) {
    const std::size_t index = m_target_index.at(target.profile().name.value());
    for (auto& [id, connection] : m_links) {
        if (connection.target == index && m_random.chance(share)) {
            connection.silent = true;
        }
    }
}

void model_world::restart(model_target& target, duration down_for) {
    target.crash();
    publish();
    m_events.after(down_for, [this, &target] {
        if (!target.is_up()) {
            target.start();
            target.draining = false;
            publish();
        }
    });
}

request_number model_world::offer(std::size_t host, std::string body, idempotency at_most_once) {
    caller_request request;
    request.number = ++m_last_request;
    request.id = request_id{"r" + std::to_string(request.number)};
    request.service = m_options.service.id;
    request.body = std::move(body);
    request.deadline = m_events.now() + m_options.deadline;
    if (!at_most_once.key.empty()) {
        request.only_shard = m_options.service.maps.front().shards.front();
    }
    request.at_most_once = std::move(at_most_once);
    offered_request& offered = m_requests[request.number];
    offered.id = request.id;
    offered.body = request.body;
    offered.arrived_at = m_events.now();
    offered.deadline = request.deadline;
    offered.key = request.at_most_once.key;
    offered.counted = m_events.now() >= time_point{m_options.warm_up};
    m_hosts[host]->dispatch(
        [&](query_engine& engine, time_point now) { return engine.on_request(now, std::move(request)); });
    return m_last_request;
}

void model_world::offer_load(time_point until) {
    const double rate = capacity_per_second(m_options) * m_options.load;
    const duration gap = m_random.exponential(duration{std::llround(1e6 / rate)});
    if (m_events.now() + gap >= until) {
        return;
    }
    m_events.after(gap, [this, until] {
        const std::uint64_t drawn = m_options.bodies == 0 ? m_last_request : m_random.below(m_options.bodies);
        idempotency at_most_once;
        if (m_random.chance(m_options.non_idempotent_share)) {
            at_most_once.key = idempotency_key{"k" + std::to_string(m_last_request)};
        }
        offer(m_random.below(std::min(m_sharing_hosts, m_previous_sharing_hosts)),
              "lot " + std::to_string(drawn), std::move(at_most_once));
        offer_load(until);
    });
}

void model_world::on_open(std::size_t host, const open_connection& action) {
    const link_id id{host, action.connection};
    const std::size_t index = m_target_index.at(action.address.value());
    const duration trip = one_way(host, *m_targets[index]);
    m_links[id] = {index, trip, false, false};
    ++m_report.connections_opened;
    m_events.after(trip, [this, id, index, trip] {
        if (m_links.at(id).closed) {
            return;
        }
        if (!m_targets[index]->on_open(id)) {
            deliver_lost(id);
            return;
        }
        m_events.after(m_options.connection_cost + trip, [this, id] {
            if (!m_links.at(id).closed) {
                m_hosts[id.host]->dispatch([&](query_engine& engine, time_point now) {
                    return engine.on_connected(now, id.connection);
                });
            }
        });
    });
}

void model_world::on_close(std::size_t host, const close_connection& action) {
    link& closed = m_links.at({host, action.connection});
    closed.closed = true;
    if (!closed.silent) {
        m_events.after(closed.one_way, [this, id = link_id{host, action.connection}, index = closed.target] {
            m_targets[index]->on_close(id);
        });
    }
}

void model_world::on_send(std::size_t host, const send_exchange& action) {
    const link& used = m_links.at({host, action.connection});
    if (used.silent) {
        return;
    }
    m_events.after(used.one_way, [this, id = link_id{host, action.connection}, index = used.target,
                                  request = action.request] { m_targets[index]->on_exchange(id, request); });
}

void model_world::on_cancel(std::size_t host, const cancel_exchange& action) {
    ++m_report.cancels;
    const std::size_t index = m_target_index.at(action.address.value());
    const duration trip = one_way(host, *m_targets[index]);
    m_events.after(trip * 3 + m_options.connection_cost, [this, host, index, number = action.number] {
        m_targets[index]->on_cancel(host, number);
    });
}

void model_world::on_probe(std::size_t host, const probe_connection& action) {
    const link_id id{host, action.connection};
    const link& used = m_links.at(id);
    const bool alive = !used.silent && m_targets[used.target]->is_up();
    const duration delay = alive ? used.one_way * 2 : action.limit;
    m_events.after(delay, [this, id, alive] {
        if (m_links.at(id).closed) {
            return;
        }
        if (!alive) {
            m_links.at(id).closed = true;
            m_hosts[id.host]->dispatch([&](query_engine& engine, time_point now) {
                return engine.on_connection_lost(now, id.connection);
            });
            return;
        }
        m_hosts[id.host]->dispatch([&](query_engine& engine, time_point now) {
            return engine.on_connection_live(now, id.connection);
        });
    });
}

void model_world::on_claim(std::size_t host, const commit_claim& action) {
    m_events.after(m_options.claim_delay, [this, host, action] {
        const claim_answer answer = m_ledger.on_claim(action.wanted);
        m_hosts[host]->dispatch([&](query_engine& engine, time_point now) {
            return engine.on_claim_answer(now, action.request, answer);
        });
    });
}

void model_world::on_ran(const exchange& started) {
    const auto found = m_requests.find(started.request);
    found->second.ran = true;
    if (!started.key.empty() && ++m_runs_by_key[started.key] > 1) {
        ++m_report.run_twice;
    }
}

void model_world::deliver_reply(const link_id& id, exchange_reply reply) {
    const link& used = m_links.at(id);
    if (used.silent || used.closed) {
        return;
    }
    m_events.after(used.one_way, [this, id, reply = std::move(reply)] {
        const link& link_at_delivery = m_links.at(id);
        if (!link_at_delivery.closed && !link_at_delivery.silent) {
            m_hosts[id.host]->dispatch([&](query_engine& engine, time_point now) {
                return engine.on_reply(now, id.connection, reply);
            });
        }
    });
}

void model_world::deliver_lost(const link_id& id) {
    const link& used = m_links.at(id);
    if (used.silent) {
        return;
    }
    m_events.after(used.one_way, [this, id] {
        link& gone = m_links.at(id);
        if (!gone.closed) {
            gone.closed = true;
            m_hosts[id.host]->dispatch([&](query_engine& engine, time_point now) {
                return engine.on_connection_lost(now, id.connection);
            });
        }
    });
}

void model_world::on_crash_suspicion(std::size_t host, const broadcast_crash_suspicion& action) {
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        if (other == host) {
            continue;
        }
        m_events.after(m_options.view_delay, [receiver = m_hosts[other].get(), action] {
            receiver->dispatch(
                [&](query_engine& engine, time_point now) { return engine.on_crash_suspicion(now, action); });
        });
    }
}

void model_world::on_answer(const answer_caller& action) {
    const query_answer& answer = action.answer;
    offered_request& request = m_requests.at(answer.number);
    require_invariant(!request.answered, "each request is answered at most once");
    request.answered = true;
    if (m_events.now() > request.deadline) {
        ++m_report.late_answers;
    }
    if (answer.outcome == request_outcome::not_run && request.ran) {
        ++m_report.false_not_run;
    }
    if (answer.reason == refusal_reason::quarantined && !request.body.starts_with(poison)) {
        ++m_report.false_quarantines;
    }
    check_parts(request, answer);
    if (request.counted) {
        count_answer(request, answer);
    }
}

void model_world::check_parts(const offered_request& request, const query_answer& answer) {
    for (const auto& part : answer.covered) {
        if (part.body != part_body(request.id, part.shard, answer.version)) {
            ++m_report.wrong_parts;
        }
    }
}

void model_world::count_answer(const offered_request& request, const query_answer& answer) {
    ++m_report.offered;
    ++m_report.ended[static_cast<std::size_t>(answer.outcome)];
    const duration latency = m_events.now() - request.arrived_at;
    const bool has_parts =
        answer.outcome == request_outcome::answered || answer.outcome == request_outcome::partial;
    if (!has_parts) {
        ++m_report.refused[answer.reason];
        if (answer.outcome == request_outcome::not_run) {
            m_report.refusal_latencies.push_back(latency);
        }
        return;
    }
    m_report.answer_latencies.push_back(latency);
    if (answer.outcome == request_outcome::answered && latency <= m_options.service.objectives.latency) {
        ++m_report.in_time;
    }
}

world_report model_world::run() {
    const time_point end{m_options.length};
    offer_load(end);
    m_events.run_until(end + m_options.deadline + drain_time);
    finish_report();
    return m_report;
}

void model_world::finish_report() {
    for (const auto& target : m_targets) {
        m_report.max_running = std::max(m_report.max_running, target->peaks().running);
        m_report.max_connections = std::max(m_report.max_connections, target->peaks().connections);
    }
    for (const auto& host : m_hosts) {
        require_invariant(host->engine().unanswered() == 0, "every request has been answered");
        const query_statistics seen = host->engine().statistics();
        m_report.first_attempts += seen.first_attempts;
        m_report.extra_attempts += seen.extra_attempts;
    }
    m_report.length = m_options.length - m_options.warm_up;
    std::sort(m_report.answer_latencies.begin(), m_report.answer_latencies.end());
    std::sort(m_report.refusal_latencies.begin(), m_report.refusal_latencies.end());
}

} // namespace tamarack
