#pragma once

#include <tamarack_membership/tamarack_membership.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace tamarack::testing {

/** Loss, delay and encoding of messages in a virtual network. */
struct network_conditions {
    double loss = 0.0;
    duration min_delay = 500us;
    duration max_delay = 3ms;
    bool as_text =
        false; ///< messages are encoded as JSON text and decoded again, and their bytes are counted
};

/** A host of the network, with its failure detector and its registry. */
struct virtual_host {
    host_record record;
    std::unique_ptr<failure_detector> detector;
    std::unique_ptr<target_registry> registry;
    bool up = false;
    time_point started_at{};
    time_point wakes_at = time_point::max();
    std::uint64_t messages_sent = 0;
    std::array<std::uint64_t, std::variant_size_v<membership_message>> bytes_of_kind{};
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t bytes_to_other_data_centers = 0; ///< bytes sent to other data centres
    duration busy{};                               ///< processor time used
};

/** A target that announces itself to hosts of the network. */
struct virtual_target {
    announcement value;
    std::vector<endpoint> hosts; ///< as returned in the last receipt
    std::size_t next_host = 0;
    bool silent = false;
    std::uint64_t receipts = 0;
};

/**
 * Simulates hosts and targets in virtual time, with message loss, delays and partitions; the same seed
 * gives the same run.
 */
class virtual_network {
public:
    virtual_network(std::uint64_t seed, network_conditions conditions);

    /** Adds a host that is not running yet. @return its index */
    std::size_t add_host(const std::string& data_center);
    /** Starts a host, or restarts it with a new incarnation; it knows only its seeds. */
    void start_host(std::size_t index);
    /** Stops a host without notifying others. */
    void kill_host(std::size_t index);
    /** Makes a host announce its shutdown to others, then stops it. */
    void leave_host(std::size_t index);
    void drain_host(std::size_t index, bool draining);

    /** Adds a target, which starts to announce itself. @return its index */
    std::size_t add_target(const std::string& data_center, const std::string& service,
                           const std::string& shard, std::uint32_t replica);
    /** Makes all running hosts known to each other immediately. */
    void introduce_hosts();
    /**
     * Registers a target at its first registrar and makes it known to all hosts, without sending messages.
     */
    void register_target_everywhere(std::size_t index);
    /** Restarts a target: a new incarnation at the same address. */
    void restart_target(std::size_t index);
    void set_target_state(std::size_t index, target_state state);
    void silence_target(std::size_t index) { m_targets[index].silent = true; }

    void run_for(duration length);

    /** Deregisters a target at one host. @param acknowledged  called when that host acknowledges it */
    void deregister(std::size_t target, std::size_t host, const std::function<void()>& acknowledged);

    /** Announces a target to one host immediately. */
    outcome<announcement_receipt> announce(std::size_t target, std::size_t host);

    /** @return the number of running hosts that see another host in this state */
    std::size_t count_seeing(std::size_t host, host_state state) const;
    /** @return the number of running hosts that consider a target usable */
    std::size_t count_using(std::size_t target) const;
    /** @return the state of a host as seen by another host; dead if unknown */
    host_state seen(std::size_t by, std::size_t host) const;
    bool uses(std::size_t host, std::size_t target) const;
    /** @return whether all running hosts have the same and the correct view of all hosts and targets */
    bool views_agree() const;

    std::vector<virtual_host>& hosts() { return m_hosts; }
    std::vector<virtual_target>& targets() { return m_targets; }
    time_point now() const { return m_now; }
    std::size_t up_hosts() const;

    detector_options detector;
    registry_options registry;
    configuration in_force;
    std::size_t seeds = 3; ///< the first hosts of the network are the seeds of all hosts
    network_conditions conditions;
    /** Returns whether a message between two hosts is lost; nullptr if none is. */
    std::function<bool(std::size_t from, std::size_t to)> partition;
    /** Returns whether a target cannot reach a host; nullptr if it always can. */
    std::function<bool(std::size_t target, std::size_t host)> target_partition;
    /** Called for each change of a host as observed by another host. */
    std::function<void(std::size_t by, const host_record& record)> on_host_changed;

private:
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct runs_later {
        bool operator()(const event& left, const event& right) const {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    void schedule(time_point when, std::function<void()> action);
    void wake(std::size_t index);
    void after_event(std::size_t index, const membership_actions& actions);
    void send(std::size_t from, const send_membership& sent);
    void send(std::size_t from, const multicast_membership& multicast);
    void send(std::size_t from, std::size_t to, const std::string& text, const membership_message& message);
    std::string text_of(std::size_t from, const membership_message& message);
    void deliver(std::size_t to, const std::string& text, const membership_message& message);
    void announce_next(std::size_t index);
    std::size_t host_at(const endpoint& address) const;
    template <typename Call>
    auto measured(virtual_host& host, Call call);

    random_source m_random;
    time_point m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, runs_later> m_events;
    std::vector<virtual_host> m_hosts;
    std::vector<virtual_target> m_targets;
};

} // namespace tamarack::testing
