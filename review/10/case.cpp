/**
 * @file
 * A machine is lost right after it has acknowledged that a replica is gone.
 */
#include "../stand-2/stand.h"

#include <csignal>
#include <iostream>

namespace {

using namespace stand;

constexpr int disk_hosts = 3;
constexpr int plain_hosts = 3;
constexpr int replicas_of_service = 14;
constexpr int departures = 9;
/** Two of fourteen (0.143): below the largest share of `scale_in` in the site file (0.152). */
constexpr std::size_t departing_together = 2;
constexpr milliseconds between_departures{10'500};
/** From the site file: drain-ms, and the time for which a machine that was lost stays away. */
constexpr milliseconds drain_time{3'000};
constexpr milliseconds machine_away{3'000};
/** A replica serves for drain-ms after the acknowledgement "and a little longer (at times many seconds)". */
constexpr milliseconds serves_on{10'000};
constexpr int clients = 3;

struct sent_request {
    int host = 0;
    steady::time_point at;
};

struct departure {
    std::string replica;
    int host = 0;
    steady::time_point acknowledged;
};

struct arrival {
    std::string replica;
    std::string request;
    steady::time_point at;
};

struct case_state {
    std::atomic<bool> stop{false};
    std::atomic<int> succeeded{0};
    std::mutex mutex;
    std::map<std::string, sent_request> sent;
    std::vector<departure> gone;
    std::vector<arrival> arrivals;
};

/** A client sends about one request in two seconds, to any host. */
void run_client(deployment& hosts, case_state& state) {
    while (!state.stop) {
        const auto next = steady::now() + milliseconds{1'500 + random_below(1'000)};
        const int host = static_cast<int>(random_below(static_cast<std::size_t>(hosts.hosts())));
        const std::string id = new_request_id();
        {
            const std::lock_guard lock{state.mutex};
            state.sent[id] = {host, steady::now()};
        }
        const message answer =
            call(hosts.front(host), client_request(id, "GET", "/desk/1", "", 2'000), 2'000ms);
        state.succeeded += answer.status == 200 ? 1 : 0;
        sleep_until(next, state.stop);
    }
}

/**
 * Replicas that never report `draining` leave at the same time; the machine that acknowledges this is lost at
 * once.
 */
void depart(deployment& hosts, record& log, case_state& state, const std::vector<replica*>& group) {
    const int host = group.front()->registrar();
    std::atomic<std::size_t> acknowledged{0};
    std::vector<std::thread> calls;
    calls.reserve(group.size());
    for (replica* leaving : group) {
        calls.emplace_back([&, leaving] {
            leaving->deregister([&](int asked) {
                const auto now = steady::now();
                if (++acknowledged == group.size() && with_trouble()) {
                    hosts.signal(asked, SIGKILL);
                }
                const std::lock_guard lock{state.mutex};
                state.gone.push_back({leaving->id(), asked, now});
                log.line("Deregister of " + leaving->id() + " acknowledged by host " + std::to_string(asked));
            });
        });
    }
    for (std::thread& call : calls) {
        call.join();
    }
    if (with_trouble()) {
        hosts.kill(host);
        std::this_thread::sleep_for(machine_away);
        hosts.start(host);
    }
}

/** @return how many requests reached a replica too late, through machines in touch */
int count_late(record& log, case_state& state) {
    const std::lock_guard lock{state.mutex};
    int late = 0;
    for (const arrival& came : state.arrivals) {
        for (const departure& left : state.gone) {
            const sent_request& request = state.sent[came.request];
            const auto after = std::chrono::duration_cast<milliseconds>(came.at - left.acknowledged);
            // The machine that was lost is not in touch; all others run all the while, as does the core.
            if (left.replica != came.replica || after <= drain_time || request.host == left.host) {
                continue;
            }
            ++late;
            log.line("DRAIN: request " + came.request + ", taken by host " + std::to_string(request.host) +
                     ", reached " + came.replica + " " + std::to_string(after.count()) + " ms after host " +
                     std::to_string(left.host) + " had acknowledged that it is gone");
        }
    }
    return late;
}

int play(const std::string& record_path) {
    record log{record_path};
    case_state state;
    deployment_options options;
    options.disk_hosts = disk_hosts;
    options.plain_hosts = plain_hosts;
    deployment hosts{options, log};
    hosts.start_all();
    if (hosts.submit(
            configuration_text(7, {{"desk", "/desk/", "safe", 2'000, 800, 2, {"desk"}}}, {"desk"}, 130),
            15s) != 200) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<replica>> replicas;
    replicas.reserve(replicas_of_service + departures * departing_together);
    const auto start_replica = [&] {
        const int number = static_cast<int>(replicas.size());
        const auto handler = [&state](replica& self, const message& request, connection& peer) {
            {
                const std::lock_guard lock{state.mutex};
                state.arrivals.push_back(
                    {self.id(), request.field("X-Tamarackstand-Request-Id"), steady::now()});
            }
            std::this_thread::sleep_for(milliseconds{20 + random_below(60)});
            return peer.write(self.answer(request, "desk"));
        };
        // A machine without a disk, in another zone, takes its heartbeats.
        std::vector<int> nodes;
        nodes.reserve(plain_hosts);
        for (int index = 0; index < plain_hosts; ++index) {
            nodes.push_back(disk_hosts + (number + index) % plain_hosts);
        }
        replicas.push_back(std::make_unique<replica>(hosts, "i-" + std::to_string(number), "desk",
                                                     hosts.zone(number + 1), handler, nodes));
    };
    while (replicas.size() < replicas_of_service) {
        start_replica();
    }
    if (!hosts.wait_until_ready(20s)) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s); // stable
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] { run_client(hosts, state); });
    }
    std::set<std::size_t> left;
    for (int index = 0; index < departures; ++index) {
        const auto begun = steady::now();
        std::vector<replica*> group;
        std::vector<std::size_t> positions;
        for (std::size_t at = 0; at < replicas.size() && group.size() < departing_together; ++at) {
            const bool fits = !left.contains(at) &&
                              (group.empty() || replicas[at]->registrar() == group.front()->registrar());
            if (fits) {
                left.insert(at);
                positions.push_back(at);
                group.push_back(replicas[at].get());
            }
        }
        for (std::size_t added = 0; added < departing_together; ++added) {
            start_replica(); // those that replace them
        }
        depart(hosts, log, state, group);
        std::this_thread::sleep_until(begun + serves_on);
        for (const std::size_t at : positions) {
            replicas[at].reset();
        }
        std::this_thread::sleep_until(begun + between_departures);
    }
    state.stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    const int late = count_late(log, state);
    log.line("requests " + std::to_string(state.sent.size()) + ", served " + std::to_string(state.succeeded) +
             ", departures acknowledged " + std::to_string(state.gone.size()) + ", late arrivals " +
             std::to_string(late));
    log.line(late > 0 ? "BROKEN: DRAIN" : "held");
    if (state.gone.size() < departures) {
        return exit_not_run;
    }
    return late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int count, char** values) {
    try {
        return count > 1 ? play(values[1]) : exit_not_run;
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return exit_not_run;
    }
}
