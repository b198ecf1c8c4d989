#pragma once

#include "fake_disk.h"
#include "raft_checker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/** Faults and delays of the network and the disks. */
struct fault_conditions {
    double loss = 0;
    double duplicates = 0;
    duration min_delay = 500us;
    duration max_delay = 2ms; ///< delays are random, so messages overtake each other
    duration min_sync_time = 200us;
    duration max_sync_time = 3ms;
    double drift = 0; ///< maximum rate error of clocks, as a fraction
};

/** A host of the cluster. */
struct fake_host {
    explicit fake_host(fake_disk given) : disk(std::move(given)) {}

    fake_disk disk;
    std::unique_ptr<raft_node> node; ///< empty while the process is down
    std::uint64_t generation = 0;    ///< counts the process's starts
    double clock_rate = 1;
    bool disk_fails = false; ///< as a full disk does
    log_index applied = 0;
    std::map<std::uint64_t, log_index> reads; ///< the committed index when each read was requested
    std::set<log_index> proposed;             ///< indices of proposals of the current leadership
};

/**
 * Members of one log in virtual time, with simulated faults of the network and the disks. Everything random
 * is drawn from one seed.
 */
class fake_cluster {
public:
    fake_cluster(std::uint64_t seed, std::size_t size, raft_options options, fault_conditions conditions);
    ~fake_cluster();
    fake_cluster(const fake_cluster&) = delete;
    fake_cluster& operator=(const fake_cluster&) = delete;
    fake_cluster(fake_cluster&&) = delete;
    fake_cluster& operator=(fake_cluster&&) = delete;

    void bootstrap(std::size_t on = 0);
    void run(duration time);
    /** Runs until a condition holds; @return whether it held within the time */
    bool run_until(const std::function<bool()>& condition, duration max_time);

    void crash(std::size_t host);
    void start(std::size_t host);
    void empty(std::size_t host);
    void cut(std::size_t from, std::size_t to) { m_cuts.emplace(from, to); }
    void isolate(std::size_t host);
    /** Cuts all links between the given hosts and the others. */
    void split(const std::set<std::size_t>& inside);
    void heal() { m_cuts.clear(); }

    bool propose(std::size_t host, const std::string& content);
    void read(std::size_t host);
    void compact_log(std::size_t host);
    /** Calls a host's node and carries out the returned actions. */
    void act(std::size_t host, const std::function<raft_actions(raft_node&, time_point)>& call);

    std::optional<std::size_t> leader() const;
    fake_host& at(std::size_t host) { return m_hosts[host]; }
    std::size_t size() const { return m_hosts.size(); }
    member_id member(std::size_t host) const { return m_hosts[host].disk.owner(); }
    raft_checker& checker() { return m_checker; }
    random_source& random() { return m_random; }
    time_point now() const { return m_now; }
    fault_conditions& conditions() { return m_conditions; }
    bool all_applied(log_index index) const;

private:
    struct event {
        std::size_t host = 0;
        std::uint64_t generation = 0; ///< of the process; 0 for messages, which are delivered to any
        std::function<raft_actions(raft_node&, time_point)> call;
    };

    void schedule(duration delay, event what);
    void step();
    void perform(std::size_t host, const raft_action& action);
    void transmit(std::size_t from, const raft_envelope& envelope);
    void store(std::size_t host, const persist_change& change);
    /** Syncs the oldest write after the disk's time; while the disk fails, tries again. */
    void sync_later(std::size_t host, std::uint64_t change);
    void apply(std::size_t host, const std::vector<log_entry>& entries);
    void schedule_timer(std::size_t host);
    time_point local_time(std::size_t host) const;
    std::size_t host_index(const host_id& host) const;

    random_source m_random;
    raft_options m_options;
    fault_conditions m_conditions;
    raft_checker m_checker;
    std::vector<fake_host> m_hosts;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::multimap<time_point, event> m_events;
    time_point m_now{1s};
    std::uint64_t m_next_read = 0;
    invariant_handler m_previous_handler;
};

} // namespace tamarack
