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

/** What a virtual network does to messages. */
struct network_conditions {
    double loss = 0.0;
    duration min_delay = 500us;
    duration max_delay = 3ms;
    bool as_text = false; ///< messages are written as JSON text and read again, and their bytes counted
};

/** One host on the network: its detector and its registry. */
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
    std::uint64_t bytes_to_other_data_centers = 0; ///< sent to other data centres
    duration busy{};                               ///< processor time
};

/** A target that announces itself to hosts of the network. */
struct virtual_target {
    announcement value;
    std::vector<endpoint> hosts; ///< as the last receipt named them
    std::size_t next_host = 0;
    bool silent = false;
    std::uint64_t receipts = 0;
};

/** Hosts and targets under virtual time, with loss, delays and cuts; the same run for the same seed. */
class virtual_network {
public:
    virtual_network(std::uint64_t seed, network_conditions conditions);

    /** Adds a host that is not up yet. @return its index */
    std::size_t add_host(const std::string& data_center);
    /** Starts a host, or restarts it as a new incarnation with nothing but its seeds. */
    void start_host(std::size_t index);
    /** Stops a host without a word. */
    void kill_host(std::size_t index);
    /** Tells others, then stops. */
    void leave_host(std::size_t index);
    void drain_host(std::size_t index, bool draining);

    /** Adds a target that begins to announce itself. @return its index */
    std::size_t add_target(const std::string& data_center, const std::string& service,
                           const std::string& shard, std::uint32_t replica);
    /** Makes all running hosts known to each other at once. */
    void introduce_hosts();
    /** Makes a target known everywhere at once, kept where it belongs, without any message. */
    void register_target_everywhere(std::size_t index);
    /** Starts a target again: a new incarnation at the same address. */
    void restart_target(std::size_t index);
    void set_target_state(std::size_t index, target_state state);
    void silence_target(std::size_t index) { m_targets[index].silent = true; }

    void run_for(duration length);

    /** Announces a target to one host now. */
    outcome<announcement_receipt> announce(std::size_t target, std::size_t host);

    /** @return hosts that are up whose view of another host has this state */
    std::size_t count_seeing(std::size_t host, host_state state) const;
    /** @return hosts that are up and hold a target usable */
    std::size_t count_using(std::size_t target) const;
    /** @return the state of a host as another sees it; dead when it is not known */
    host_state seen(std::size_t by, std::size_t host) const;
    bool uses(std::size_t host, std::size_t target) const;
    /** @return whether all hosts that are up agree on all hosts and all live targets, and are right */
    bool views_agree() const;

    std::vector<virtual_host>& hosts() { return m_hosts; }
    std::vector<virtual_target>& targets() { return m_targets; }
    time_point now() const { return m_now; }
    std::size_t up_hosts() const;

    detector_options detector;
    registry_options registry;
    configuration in_force;
    std::size_t seeds = 3; ///< the first hosts are everyone's seeds
    network_conditions conditions;
    /** Whether a message between two hosts is lost; nullptr for never. */
    std::function<bool(std::size_t from, std::size_t to)> partition;
    /** Whether a target can't reach a host; nullptr for never. */
    std::function<bool(std::size_t target, std::size_t host)> target_partition;
    /** Called for each change of a host as seen by another. */
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
