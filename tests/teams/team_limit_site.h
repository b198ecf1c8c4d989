#pragma once

#include <tamarack_teams/tamarack_teams.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/** Hosts with clients, and servers on some of them, in virtual time; messages take 0.5 to 3 ms. */
class team_limit_site {
public:
    struct counts {
        std::vector<time_point> admitted;
        std::size_t refused = 0;
    };

    team_limit_site(std::size_t hosts, std::uint64_t seed) : m_random(seed) {
        for (std::size_t number = 0; number < hosts; ++number) {
            m_names.emplace_back("host-" + std::to_string(number));
            m_cut.push_back(0);
        }
        for (std::size_t number = 0; number < hosts; ++number) {
            restart(number);
        }
    }

    time_point now{1h};
    std::vector<team_limit> limits;
    std::map<team_number, double> offered; ///< requests a second over all hosts
    std::map<team_number, counts> seen;
    double lost_part = 0.0; ///< of the messages
    std::size_t messages = 0;

    std::size_t hosts() const { return m_names.size(); }
    void restart(std::size_t host) {
        m_clients.resize(std::max(m_clients.size(), host + 1));
        m_clients[host] =
            std::make_unique<team_limit_client>(now, m_names[host], random_source{m_random.next()});
        m_clients[host]->set_hosts(m_names);
        m_clients[host]->set_limits(limits);
    }
    void set_limits(const std::vector<team_limit>& wanted, const std::function<bool(std::size_t)>& reached) {
        limits = wanted;
        for (std::size_t host = 0; host < hosts(); ++host) {
            if (reached(host)) {
                m_clients[host]->set_limits(limits);
                if (m_servers.contains(host)) {
                    m_servers[host]->set_limits(now, limits);
                }
            }
        }
    }
    void set_limits(const std::vector<team_limit>& wanted) {
        set_limits(wanted, [](std::size_t) { return true; });
    }
    /** Starts a server on a host; hosts of this part of the network use it. */
    void lead(std::size_t host, int part) {
        m_servers[host] = std::make_unique<team_limit_server>(now, ++m_term);
        m_servers[host]->set_hosts(hosts());
        m_servers[host]->set_limits(now, limits);
        m_leaders[part] = host;
    }
    /** Lets a server that is cut off go on until its host's lease ends. */
    void run_until_lease_ends(std::size_t host) {
        m_leaders[m_cut[host]] = host;
        m_leaders.erase(0);
        run(team_limit_server::predecessor_time);
        end_server(host);
    }
    void end_server(std::size_t host) { m_servers.erase(host); }
    /** Moves a host to a part of the network; hosts in different parts can't reach each other. */
    void move(std::size_t host, int part) { m_cut[host] = part; }

    void run(duration time) {
        const time_point end = now + time;
        double total = 0.0;
        for (const auto& [team, rate] : offered) {
            total += rate;
        }
        constexpr duration mean_base = 1s;
        const duration mean = std::chrono::duration_cast<duration>(mean_base / std::max(total, 1e-3));
        time_point arrival = now + m_random.exponential(mean);
        while (now < end) {
            now += 500us;
            for (; arrival <= now; arrival += m_random.exponential(mean)) {
                double pick = m_random.unit() * total;
                for (const auto& [team, rate] : offered) {
                    pick -= rate;
                    if (pick <= 0.0) {
                        arrive(team, m_random.below(hosts()));
                        break;
                    }
                }
            }
            deliver();
            for (std::size_t host = 0; host < hosts(); ++host) {
                decide(host, now >= m_clients[host]->next_timer(now) ? m_clients[host]->on_timer(now)
                                                                     : std::vector<waited_decision>{});
                report(host);
            }
            for (auto& [host, server] : m_servers) {
                if (auto due = server->take_announcement(now)) {
                    for (const host_id& to : due->to) {
                        send(host, index_of(to), [this, to, grant = due->grant] {
                            const std::size_t at = index_of(to);
                            decide(at, m_clients[at]->on_grant(now, grant));
                        });
                    }
                }
            }
        }
    }

    /** @return the largest number of a team's requests in any window, divided by the bound */
    double worst(const team_limit& limit, time_point from = {}) {
        auto& times = seen[limit.team].admitted;
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), from);
        for (auto last = first; last != times.end(); ++last) {
            while (*last - *first >= 5s) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        const double bound = (limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0;
        return static_cast<double>(most) / bound;
    }

private:
    void arrive(team_number team, std::size_t host) {
        const std::uint64_t number = ++m_request;
        const team_decision made = m_clients[host]->request(now, team, number, 12ms);
        if (made.verdict == team_verdict::waiting) {
            m_waiting[number] = team;
        } else {
            count(team, made);
        }
        report(host);
    }
    void count(team_number team, const team_decision& made) {
        if (made.verdict == team_verdict::admitted) {
            seen[team].admitted.push_back(now);
        } else {
            ++seen[team].refused;
        }
    }
    void decide(std::size_t /*host*/, const std::vector<waited_decision>& decisions) {
        for (const waited_decision& made : decisions) {
            count(m_waiting.at(made.request), made.decision);
            m_waiting.erase(made.request);
        }
    }
    void report(std::size_t host) {
        auto due = m_clients[host]->take_report(now);
        const auto leader = m_leaders.find(m_cut[host]);
        if (!due || leader == m_leaders.end()) {
            return;
        }
        const std::size_t to = leader->second;
        send(host, to, [this, host, to, use = *due] {
            if (!m_servers.contains(to)) {
                return;
            }
            if (auto grant = m_servers[to]->on_use(now, use)) {
                send(to, host,
                     [this, host, grant = *grant] { decide(host, m_clients[host]->on_grant(now, grant)); });
            }
        });
    }
    void send(std::size_t from, std::size_t to, std::function<void()> arrival) {
        ++messages;
        if (m_cut[from] == m_cut[to] && !m_random.chance(lost_part)) {
            m_network.emplace(now + (from == to ? 0us : m_random.between(500us, 3ms)), std::move(arrival));
        }
    }
    void deliver() {
        while (!m_network.empty() && m_network.begin()->first <= now) {
            auto next = m_network.extract(m_network.begin());
            next.mapped()();
        }
    }
    std::size_t index_of(const host_id& host) const { return std::stoul(host.value().substr(5)); }

    random_source m_random;
    std::vector<host_id> m_names;
    std::vector<int> m_cut;
    std::map<int, std::size_t> m_leaders;
    std::vector<std::unique_ptr<team_limit_client>> m_clients;
    std::map<std::size_t, std::unique_ptr<team_limit_server>> m_servers;
    std::multimap<time_point, std::function<void()>> m_network;
    std::map<std::uint64_t, team_number> m_waiting;
    std::uint64_t m_request = 0;
    std::uint64_t m_term = 0;
};

} // namespace tamarack
