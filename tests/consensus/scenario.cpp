#include "scenario.h"

#include <algorithm>

namespace tamarack {

namespace {

std::vector<member_id> all_members(const fake_cluster& cluster) {
    std::vector<member_id> members;
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        members.push_back(cluster.member(host));
    }
    return members;
}

/** Whether all hosts are running and are voters in each one's log. */
bool all_are_voters(fake_cluster& cluster) {
    const log_members expected{all_members(cluster), {}};
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        const auto& node = cluster.at(host).node;
        if (!node || node->members() != expected) {
            return false;
        }
    }
    return true;
}

void on_leaders(fake_cluster& cluster, const std::function<void(std::size_t)>& call) {
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        const auto& node = cluster.at(host).node;
        if (node && node->role() == raft_role::leader) {
            call(host);
        }
    }
}

void change_voters(fake_cluster& cluster, std::size_t changed, bool add) {
    on_leaders(cluster, [&](std::size_t host) {
        cluster.act(host, [&](raft_node& node, time_point now) {
            std::vector<member_id> wanted = node.members().voters;
            if (add && std::ranges::find(wanted, cluster.member(changed)) != wanted.end()) {
                return raft_actions{};
            }
            std::erase_if(wanted,
                          [&](const member_id& voter) { return voter.host == cluster.member(changed).host; });
            if (add) {
                wanted.push_back(cluster.member(changed));
            }
            raft_actions actions;
            if (wanted.size() >= 2) {
                static_cast<void>(node.change_voters(now, wanted, actions));
            }
            return actions;
        });
    });
}

void restart_all(fake_cluster& cluster) {
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.crash(host);
    }
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.start(host);
    }
}

void perform(fake_cluster& cluster, const scenario_event& event, const std::string& content) {
    const std::size_t host = event.host % cluster.size();
    switch (event.step) {
    case scenario_step::propose:
        return on_leaders(cluster, [&](std::size_t leader) { cluster.propose(leader, content); });
    case scenario_step::read:
        return on_leaders(cluster, [&](std::size_t leader) { cluster.read(leader); });
    case scenario_step::compact_log:
        return cluster.compact_log(host);
    case scenario_step::crash:
        return cluster.crash(host);
    case scenario_step::restart_all_hosts:
        return restart_all(cluster);
    case scenario_step::start:
        return cluster.start(host);
    case scenario_step::cut_one_way:
        return cluster.cut(host, event.other % cluster.size());
    case scenario_step::isolate:
        return cluster.isolate(host);
    case scenario_step::heal:
        return cluster.heal();
    case scenario_step::degrade_network:
        cluster.conditions() = {0.2, 0.2, 1ms, 300ms, 1ms, 100ms, 0.02};
        return;
    case scenario_step::restore_network:
        cluster.conditions() = {0, 0.05, 500us, 5ms, 200us, 5ms, 0.02};
        return;
    case scenario_step::empty:
        if (all_are_voters(cluster)) {
            cluster.empty(host);
            cluster.start(host);
        }
        return;
    case scenario_step::remove:
        if (all_are_voters(cluster)) {
            change_voters(cluster, host, false);
        }
        return;
    case scenario_step::add:
        return change_voters(cluster, host, true);
    case scenario_step::transfer_leadership:
        return cluster.act(host,
                           [](raft_node& node, time_point now) { return node.transfer_leadership(now); });
    case scenario_step::fail_disk:
        cluster.at(host).disk_fails = true;
        return;
    case scenario_step::restore_disk:
        cluster.at(host).disk_fails = false;
        return;
    }
}

bool has_converged(fake_cluster& cluster) {
    const auto leader = cluster.leader();
    return leader && all_are_voters(cluster) && cluster.all_applied(cluster.at(*leader).node->last().index);
}

std::string describe(fake_cluster& cluster) {
    std::string text;
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        const auto& node = cluster.at(host).node;
        text += "\n" + cluster.member(host).host.value() + " " +
                std::to_string(cluster.member(host).incarnation.value);
        if (!node) {
            continue;
        }
        text += " " + std::string{to_name(node->role())} + " term " + std::to_string(node->term()) +
                " last " + std::to_string(node->last().index) + " committed " +
                std::to_string(node->committed()) + (node->may_vote() ? " votes" : "") + " voters";
        for (const member_id& voter : node->members().voters) {
            text += " " + voter.host.value() + std::to_string(voter.incarnation.value);
        }
        text += " learners";
        for (const member_id& learner : node->members().learners) {
            text += " " + learner.host.value() + std::to_string(learner.incarnation.value);
        }
        text += " refused " + std::to_string(node->excluded_voters().size());
    }
    return text;
}

void wait_until_converged(fake_cluster& cluster, const std::string& when) {
    constexpr duration test_timeout = 5s;
    for (int attempt = 0; attempt < 12 && !has_converged(cluster); ++attempt) {
        for (std::size_t host = 0; host < cluster.size(); ++host) {
            change_voters(cluster, host, true);
            cluster.run(50ms);
        }
        cluster.run_until([&] { return has_converged(cluster); }, test_timeout);
    }
    if (!has_converged(cluster)) {
        cluster.checker().add_violation("the hosts did not converge " + when + describe(cluster));
    }
}

} // namespace

raft_options tight_options() {
    raft_options options;
    options.max_entries_per_message = 8;
    options.snapshot_part_bytes = 100;
    options.max_uncommitted_proposals = 64;
    return options;
}

std::vector<std::string> random_run(std::uint64_t seed, std::size_t size, const raft_options& options) {
    constexpr std::size_t events_in_run = 300;
    fake_cluster cluster{seed, size, options, {0, 0.05, 500us, 5ms, 200us, 5ms, 0.02}};
    cluster.bootstrap(seed % size);
    cluster.run_until([&] { return cluster.leader().has_value(); }, 5s);
    run_scenario(cluster, draw_events(cluster.random(), events_in_run));
    settle(cluster);
    return cluster.checker().violations();
}

std::vector<scenario_event> draw_events(random_source& random, std::size_t count) {
    std::vector<scenario_event> events;
    for (std::size_t number = 0; number < count; ++number) {
        const std::size_t step = random.chance(0.6) ? random.below(2) : random.below(scenario_steps);
        events.push_back({static_cast<scenario_step>(step), random.below(8), random.below(8),
                          random.exponential(random.chance(0.1) ? 1s : 30ms)});
    }
    return events;
}

void run_scenario(fake_cluster& cluster, const std::vector<scenario_event>& events) {
    std::size_t number = 0;
    for (const scenario_event& event : events) {
        perform(cluster, event, "content " + std::to_string(++number));
        cluster.run(event.pause);
    }
}

void settle(fake_cluster& cluster) {
    cluster.heal();
    cluster.conditions() = {};
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.at(host).disk_fails = false;
        cluster.start(host);
    }
    wait_until_converged(cluster, "after the faults");
    restart_all(cluster);
    wait_until_converged(cluster, "after a loss of power");
    if (cluster.leader() && cluster.at(*cluster.leader()).applied < cluster.checker().acknowledged()) {
        cluster.checker().add_violation("an acknowledged entry is lost");
    }
}

} // namespace tamarack
