#pragma once

#include "support/checks/crashing_request_check.h"
#include "support/checks/extra_load_check.h"
#include "support/checks/request_limit_check.h"

#include <tamarack_forwarding/tamarack_forwarding.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/** Behaviour of one simulated target. */
struct world_target {
    forwarding_target info;
    duration work = 8ms;  ///< median time of an exchange
    double spread = 0.35; ///< standard deviation of the logarithm of the time
    std::size_t slots = 2;
    std::size_t queue = 12; ///< limit on waiting exchanges; further ones are refused as not run
    std::size_t connections = 26;
    std::size_t accepted =
        0; ///< connections beyond this number are reset once they are open; 0: all accepted
    std::size_t accepted_with_queue = 0; ///< the same while more exchanges wait than it has slots
    duration pause{0};                   ///< length of its periodic pauses
    duration pause_every{0};             ///< period of the pauses; zero: none
    duration pause_phase{0};
    double slow = 1.0;                   ///< factor on the time of its work
    double failure_share = 0.0;          ///< share of exchanges that fail
    double lost_reply_share = 0.0;       ///< share whose connection breaks after the work, before the reply
    bool unresponsive = false;           ///< answers neither exchanges nor connection attempts
    bool full = false;                   ///< refuses all exchanges as not run
    bool announces_leaving = false;      ///< announces in each reply that it takes no new work
    duration requested_backoff{0};       ///< sent with each refusal
    std::optional<double> request_limit; ///< stated in each reply: requests a second from all hosts
    bool reads = true;                   ///< processes what arrives; connections are accepted in any case
    duration crash_time = 2s;            ///< time until it is back after a crash
    bool crashes_silently = false;       ///< connections to it hang after a crash instead of being reset
};

/** Result of one request. */
struct world_result {
    forward_outcome outcome = forward_outcome::not_run;
    forward_reason reason = forward_reason::none;
    duration taken{};
    std::size_t covered = 0;
    std::size_t shards = 0;
    bool in_objective = false;
    duration retry_after{};
    std::uint32_t priority = 0;
    std::string team;
    bool is_return = false; ///< of a caller that was refused before
    time_point arrived;
};

/** A change of the fraction of a service's first exchanges that leaves the data centre. */
struct world_locality_change {
    duration at{}; ///< since the start of the simulation
    std::size_t host = 0;
    locality_changed change;
};

/**
 * Simulation of several hosts, with a forwarding engine each, and targets, in virtual time.
 */
class forwarding_world {
public:
    explicit forwarding_world(std::uint64_t seed, std::size_t hosts = 3, forwarding_options options = {});

    /** Moves a host to a data centre, "near" by default. To be called before publish. */
    void place_host(std::size_t host, const std::string& data_center);
    /** Sets the additional one-way delay between data centres. */
    void set_distance(duration one_way_delay) { m_distance = one_way_delay; }
    /** Adds the replicas of a service; their ids are "SERVICE-N". */
    void add_service(const std::string& service, std::size_t replicas, const world_target& behaviour);
    /** Routes all requests under /NAME/ of "example". */
    route& add_route(const std::string& name, const std::vector<std::string>& services);
    /** Passes the current routes and targets to all hosts. */
    void publish();

    /** Kills and restarts a host's process; its running requests are dropped. */
    void restart_host(std::size_t host);
    /** Isolates all hosts from each other. @param lease_left  remaining time of their leases */
    void partition_hosts(duration lease_left);
    /** Removes a route with the next publish. */
    void remove_route(const std::string& name);
    /** Makes a target state a limit on requests in its replies, or no longer. */
    void limit_requests(const std::string& id, std::optional<double> per_second);
    /** Sets how many requests a second a cold target of a service takes, from the next publish on. */
    void limit_cold_targets(const std::string& service, double per_second) {
        for (routed_service& listed : m_table.services) {
            if (listed.id.value() == service) {
                listed.warmup_requests_per_second = per_second;
            }
        }
    }
    /** Lets a target resume reading, starting with what has arrived in the meantime. */
    void resume_reading(const std::string& id);

    /** Lets requests of a route arrive at random times, at an average rate. */
    void load(const std::string& route_name, double per_second, duration from, duration until,
              const std::string& team = {});
    /** Adds a team whose key is its name; all requests need a key from the next publish on. */
    void add_team(const std::string& name);
    /** Lets callers send a refused request once more after the delay that they were told. */
    void let_callers_return() { m_callers_return = true; }
    /** Sends one request to some host. */
    void send_one(const std::string& route_name) { arrive(route_name, {}); }
    /** The same, for requests to one host. */
    void load_at(std::size_t host, const std::string& route_name, double per_second, duration from,
                 duration until);
    /** Schedules an action. */
    void at(duration when, std::function<void()> action);
    /** Sends a request to one host that crashes each target that runs it. */
    void send_crashing(const std::string& route_name, std::size_t host);
    /** Directs no callers to a host from the next publish on; it still serves those that arrive. */
    void put_on_standby(std::size_t host) { m_hosts[host].on_standby = true; }
    /** Drops the reports of crash losses between hosts until `until`. */
    void lose_crash_reports(duration until) { m_crash_reports_lost_until = m_start + until; }
    /** Drops the reports of request limits between hosts. */
    void lose_limit_reports() { m_limit_reports_lost = true; }
    /** Kills and restarts all hosts at once. */
    void restart_all();
    /** Ends a target's process; it is back after its crash_time. */
    void crash(const std::string& id) { crash_target(target_id{id}); }
    /** Pauses all hosts; events in the meantime are processed at the end of the pause. */
    void pause_hosts(duration from, duration until);
    void run_until(duration end);

    world_target& target(const std::string& id) { return m_targets.at(target_id{id}).behaviour; }
    void for_each_target(const std::function<void(const std::string&, world_target&)>& visit);
    void hide(const std::string& id) { m_hidden.insert(target_id{id}); }
    void show(const std::string& id) { m_hidden.erase(target_id{id}); }

    const std::vector<world_result>& results() const { return m_results; }
    /** @return share of the requests arriving in a period that were answered within their objective */
    double good_share(duration from, duration until, std::int64_t priority = -1) const;
    /** @return the same for the teams that are wanted */
    double good_share_of(duration from, duration until,
                         const std::function<bool(const std::string&)>& wanted) const;
    /** @return requests refused because their team was above its share */
    std::uint64_t gave_way() const;
    std::size_t arrivals(const std::string& service) const;
    std::size_t requests_for(const std::string& service) const;
    std::size_t max_connections(const std::string& id) const {
        return m_targets.at(target_id{id}).max_connections;
    }
    /** @return connections that targets reset as beyond their limit */
    std::size_t resets() const { return m_resets; }
    std::size_t runs_of(const std::string& request, const std::string& service) const;
    const std::vector<std::string>& violations() const { return m_violations; }
    /**
     * @return maximum number of exchanges that a target received from one host during a backoff, leaving out
     * its first half second
     */
    std::size_t max_during_backoff() const;
    /** @return exchanges received from hosts well after the target announced to them that it was leaving */
    std::size_t arrivals_after_leaving(const std::string& id) const;
    /** @return crashes and arrivals caused by the crashing request */
    const testing_support::crashing_request_check& crashing_request() const { return m_crashing; }
    /** @return services that received more extra exchanges in a sliding window than the options allow */
    std::vector<testing_support::extra_load_breach> extra_load_breaches() const;
    /** @return windows in which targets received more requests than their stated limits allow */
    std::vector<testing_support::request_limit_breach> request_limit_breaches() const {
        return m_request_limits.breaches();
    }
    /** @return number of exchanges that a target has received */
    std::size_t arrivals_at(const std::string& id) const { return m_targets.at(target_id{id}).arrivals; }
    /** @return total extra exchanges that a service received */
    std::size_t extra_load(const std::string& service) const { return m_extra_load.extra(service); }
    std::size_t unanswered() const;
    forwarding_statistics statistics(std::size_t host) const { return m_hosts[host].engine->statistics(); }
    const std::vector<world_locality_change>& locality_changes() const { return m_locality_changes; }
    /** @return latest fraction that leaves the data centre, of a host's service */
    double far_fraction(std::size_t host, const std::string& service) const;
    time_point now() const { return m_now; }

private:
    static constexpr duration one_way = 500us; ///< delay between hosts, and between hosts and targets

    struct running_work {
        std::size_t host = 0;
        target_connection connection = 0;
        request_id id;
        std::size_t incarnation = 0; ///< of the host that sent it
        bool crashes = false;        ///< whether it crashes the target that runs it
    };
    struct simulated_target {
        world_target behaviour;
        std::size_t running = 0;
        std::vector<running_work> waiting;
        std::size_t open_connections = 0;
        std::size_t max_connections = 0;
        std::size_t arrivals = 0;
        std::vector<running_work> unread;
        std::map<std::size_t, std::pair<time_point, time_point>>
            backoffs;                                           ///< by host: time of the request and end
        std::map<std::size_t, std::size_t> received_in_backoff; ///< by host
        std::map<std::size_t, time_point> announced_leaving;    ///< by host
        std::size_t after_leaving = 0;
        std::size_t incarnation = 0; ///< incremented with each crash
        time_point down_until{};
    };
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return at > other.at || (at == other.at && order > other.order);
        }
    };
    struct simulated_host {
        std::unique_ptr<forwarding_engine> engine;
        std::unique_ptr<allowance_share> allowance;
        limit_sharing limit_hosts;
        std::map<target_connection, target_id> connections;
        time_point timer_at = time_point::max();
        std::size_t incarnation = 0; ///< incremented with each restart
        data_center_id data_center{"near"};
        bool on_standby = false;
        std::vector<crash_loss> crash_reports; ///< losses that it found
    };
    struct open_request {
        std::size_t host = 0;
        time_point arrived;
        const route* taken = nullptr;
        request_id id;
        std::string team;
        time_point first_arrived; ///< of the caller's first attempt
    };

    void start_host(std::size_t host);
    void schedule(time_point when, std::function<void()> action);
    void arrive(const std::string& route_name, const std::string& team,
                std::optional<time_point> first_arrived = std::nullopt);
    void arrive_at(std::size_t host, const std::string& route_name, bool crashes,
                   const std::string& team = {}, std::optional<time_point> first_arrived = std::nullopt);
    void return_caller(const open_request& refused, duration retry_after);
    void crash_target(const target_id& id);
    void lose_connection(std::size_t host, std::size_t incarnation, target_connection connection,
                         duration after);
    void accept_connection(std::size_t host, std::size_t incarnation, target_connection connection,
                           const target_id& id);
    void open_connection(std::size_t host, const open_target_connection& open);
    void report_losses(std::size_t from, std::size_t to);
    void report_limit(std::size_t from, const broadcast_request_limit& report);
    void carry_out(std::size_t host, forwarding_actions actions);
    void arm_timer(std::size_t host);
    void on_exchange(std::size_t host, const send_target_exchange& send);
    void receive(const target_id& id, const running_work& work);
    void discard_waiting(std::size_t host, target_connection connection, const target_id& id);
    void record_withheld_arrival(simulated_target& target, std::size_t host);
    void add_withheld_fields(simulated_target& target, std::size_t host, target_reply& answer);
    void start_work(simulated_target& target, const running_work& work);
    void end_work(const target_id& id, const running_work& work);
    void reply(const running_work& work, const target_id& id, target_verdict verdict);
    duration delay_between(std::size_t host, const target_id& id) const;
    duration pause_left(const simulated_target& target) const;
    /** @return whether the host is still in this incarnation and has the connection */
    bool has_connection(std::size_t host, std::size_t incarnation, target_connection connection) const;
    void on_answer(const forward_answer& answer);

    forwarding_options m_options;
    std::uint64_t m_next_seed;
    random_source m_random;
    std::vector<simulated_host> m_hosts;
    testing_support::extra_load_check m_extra_load;
    testing_support::request_limit_check m_request_limits;
    testing_support::crashing_request_check m_crashing;
    std::set<std::string> m_crashing_requests; ///< by id
    time_point m_crash_reports_lost_until{};
    std::map<target_id, simulated_target> m_targets;
    std::set<target_id> m_hidden;
    route_table m_table;
    std::shared_ptr<const route_table> m_published;
    std::vector<std::shared_ptr<const route_table>> m_previous_tables; ///< open requests point into them
    std::priority_queue<event> m_events;
    std::uint64_t m_next_event_order = 0;
    time_point m_paused_until{};
    duration m_distance{0};
    std::size_t m_resets = 0;
    std::vector<world_locality_change> m_locality_changes;
    bool m_partitioned = false;
    bool m_callers_return = false;
    bool m_limit_reports_lost = false;
    time_point m_start{1h};
    time_point m_now{1h};
    forward_number m_next_request = 1;
    std::map<forward_number, open_request> m_open_requests;
    std::map<std::pair<std::string, std::string>, std::size_t> m_runs; ///< by request and service
    std::set<std::string> m_answered_not_run;
    std::map<std::string, std::size_t> m_requests_for;
    std::vector<world_result> m_results;
    std::vector<std::string> m_violations;
};

} // namespace tamarack
