#include "../system_random.h"
#include "../team_tolerance.h"
#include "hosts_worker.h"

#include <algorithm>
#include <utility>

namespace tamarack {

bool hosts_worker::post_team_use(team_use report) {
    return m_thread.try_post([this, report = std::move(report)] {
        const host_id leader = m_control->leader();
        if (leader == m_settings.host) {
            on_team_use(report);
        } else if (!leader.empty()) {
            m_links.send(address_of(leader), team_use_method, encode_team_use(report));
        }
        finish_event();
    });
}

bool hosts_worker::leads_teams(time_point now) const {
    return m_control->leader() == m_settings.host && m_control->lease_ends_at() > now;
}

/** Begins or ends this host's service as the server of team limits, and passes it the ticket's limits. */
void hosts_worker::review_team_server(time_point now) {
    if (!leads_teams(now)) {
        m_team_server.reset();
        return;
    }
    const configuration& current = m_control->current();
    const bool is_new = !m_team_server;
    if (is_new) {
        const duration predecessor =
            std::max(team_limit_server::predecessor_time, m_settings.times.lease_length);
        // Bounded so that the number survives its way through JSON.
        constexpr unsigned spare_bits = 12;
        m_team_server =
            std::make_unique<team_limit_server>(now, (system_random().next() >> spare_bits) + 1, predecessor);
    }
    if (is_new || m_team_limits_ticket != current.number) {
        m_team_limits_ticket = current.number;
        m_limited_teams.clear();
        std::vector<team_limit> limits;
        if (current.routes) {
            limits = number_teams(current.routes->teams, team_tolerance_of(m_settings));
            for (std::size_t index = 0; index < limits.size(); ++index) {
                m_limited_teams[limits[index].team] = current.routes->teams[index].name;
            }
        }
        m_team_server->set_limits(now, limits);
    }
    m_team_server->set_hosts(
        static_cast<std::size_t>(std::ranges::count_if(m_detector->hosts(), [](const host_record& host) {
            return host.state == host_state::alive && !host.draining && !host.callers_address.empty();
        })));
}

void hosts_worker::on_team_use(const team_use& report) {
    const time_point now = steady_now();
    if (now >= m_team_server_review_at || !m_team_server || !leads_teams(now) ||
        m_team_limits_ticket != m_control->current().number) {
        m_team_server_review_at = now + team_server_review_interval;
        review_team_server(now);
    }
    if (!m_team_server) {
        return;
    }
    if (const auto grant = m_team_server->on_use(now, report)) {
        send_team_grant(report.host, *grant);
    }
    announce_team_changes(now);
}

void hosts_worker::send_team_grant(const host_id& to, const team_grant& grant) {
    if (to == m_settings.host) {
        on_team_grant(grant);
    } else {
        m_links.send(address_of(to), team_grant_method, encode_team_grant(grant));
    }
}

void hosts_worker::on_team_grant(const team_grant& grant) {
    if (m_hooks.team_grant) {
        m_hooks.team_grant(grant);
    }
}

void hosts_worker::announce_team_changes(time_point now) {
    if (!m_team_server) {
        return;
    }
    if (const auto due = m_team_server->take_announcement(now)) {
        for (const host_id& host : due->to) {
            send_team_grant(host, due->grant);
        }
    }
    for (const team_state_change& change : m_team_server->take_changes()) {
        const std::string state = change.metered ? "metered" : "open";
        m_metrics.count(counter_id::team_state_changes_total, state);
        if (m_team_lines.take(now)) {
            log_state_change(log_level::info, "team_limit_state", m_control->current().number,
                             {{"team", m_limited_teams[change.team]},
                              {"state", state},
                              {"use_per_s", std::to_string(change.use)},
                              {"level", std::to_string(change.level)}});
        }
    }
}

} // namespace tamarack
