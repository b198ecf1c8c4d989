#pragma once

#include "fault_proxy/proxy_route.h"
#include "support/checks/eventually.h"
#include "support/checks/extra_load_check.h"
#include "support/checks/request_limit_check.h"
#include "support/net/http_call.h"
#include "support/net/http_listener.h"
#include "support/net/persistent_connection.h"
#include "support/net/port_reservation.h"
#include "support/process/process_group.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::platform_integration {

using testing_support::eventually;
using testing_support::plain_request;
using testing_support::plain_response;

/** Time-out of a call on a new connection. */
inline constexpr std::chrono::milliseconds call_limit{5'000};
inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_not_run = 503;

/** A fake replica that implements the platform's protocol on a thread of its deployment. */
struct stand_in_replica {
    static constexpr double no_request_limit = -1.0;

    std::string id;
    std::string service;
    std::string zone = "zone-0"; ///< set before its first heartbeat
    std::string address;
    std::uint64_t born = 0;
    std::atomic<std::uint64_t> sequence{0};
    std::unique_ptr<testing_support::http_listener> listener;
    std::atomic<unsigned> runs{0};
    std::atomic<unsigned> misdirected{0};
    std::atomic<int> work_ms{2};
    std::atomic<bool> fails{false};
    std::atomic<std::size_t> min_stamp_bytes{0}; ///< shorter stamps of its replies are padded
    std::atomic<unsigned> failure_status{500};   ///< of the answers to requests that it runs and fails
    std::atomic<unsigned> fails_each{0};   ///< answers 500 to each n-th request that it runs; 0: to none
    std::atomic<unsigned> rejects_each{0}; ///< rejects each n-th request
    std::atomic<unsigned> repeats_each{0}; ///< sends each n-th reply once more
    std::atomic<testing_support::repetition> repetition{testing_support::repetition::before_next_response};
    std::atomic<bool> repeats_as_success{false}; ///< a failure is repeated with status 200
    std::atomic<unsigned> received{0};
    std::atomic<bool> saw_key{false};                    ///< a request carried an Authorization field
    std::atomic<unsigned> runs_for_team{0};              ///< runs whose request named the team "divers"
    std::atomic<double> request_limit{no_request_limit}; ///< stated in each reply: requests a second
    std::atomic<bool> draining{false};                   ///< reported in its heartbeats
    std::atomic<bool> ended{false};                      ///< it has deregistered and sends no more heartbeats
    std::unique_ptr<fault_proxy::proxy_route> proxy;     ///< on the path from hosts; nullptr if it is direct
    bool reading_paused = false;                         ///< accessed only on the deployment's event loop
    std::vector<std::function<void()>> unread;           ///< requests that arrived while reading was paused
};

/** A request with this path crashes each replica behind a proxy that runs it. It restarts a moment later. */
inline const std::string crashing_path = "/fetch/crash";

/** A reply of a replica to a request that it has run. */
struct replica_reply {
    std::string request;
    unsigned status = 0;
    std::string body;

    bool operator==(const replica_reply&) const = default;
};

/** How hosts reach the replicas. */
enum class replica_path {
    direct,
    through_proxy,
};

/**
 * Runs real daemons, started as the platform starts them: with rendered settings, each on its own address,
 * and without an operator who bootstraps the control hosts. Also simulates replicas that register, and
 * callers.
 */
class platform_deployment {
public:
    /**
     * @param disk_hosts   hosts with a data folder; the first three are the seeds
     * @param entry_hosts  hosts without a data folder
     * @param path         how hosts reach the replicas
     */
    platform_deployment(std::size_t disk_hosts, std::size_t entry_hosts,
                        replica_path path = replica_path::direct);
    ~platform_deployment();
    platform_deployment(const platform_deployment&) = delete;
    platform_deployment& operator=(const platform_deployment&) = delete;
    platform_deployment(platform_deployment&&) = delete;
    platform_deployment& operator=(platform_deployment&&) = delete;

    /** Adds a line to the section `[limits]` of the hosts' settings. Call before the hosts are started. */
    void add_limit(const std::string& line) { m_more_limits += line + "\n"; }
    /** Sets that a removed key may be used on no host after some time. Call before the hosts are started. */
    void revoke_keys_everywhere() { m_revokes_keys_everywhere = true; }
    /** Lets operators evacuate data centres. Call before the hosts are started. */
    void evacuate_data_centers() { m_evacuates_data_centers = true; }
    void start_host(std::size_t host);
    void start_all();
    void kill_host(std::size_t host) { m_processes.kill(name_of(host)); }
    testing_support::process_end stop_host(std::size_t host) { return m_processes.stop(name_of(host)); }
    testing_support::child_process& process(std::size_t host) { return m_processes.at(name_of(host)); }
    std::string output(std::size_t host) { return m_processes.at(name_of(host)).output(); }

    stand_in_replica& add_replica(const std::string& service);
    /** Makes a replica stop reading requests. It still accepts connections and sends heartbeats. */
    void pause_reading(stand_in_replica& replica);
    /** Makes a replica read again, starting with the requests that have arrived meanwhile. */
    void resume_reading(stand_in_replica& replica);
    /** Changes the faults on the path to a replica that hosts reach through a proxy. */
    void inject_path_faults(stand_in_replica& replica,
                            const std::function<void(fault_proxy::proxy_route&)>& change);

    /** Sends a heartbeat to a host. @return the status of the host's answer; 0 if there is none */
    unsigned send_heartbeat(stand_in_replica& replica, std::size_t host, const std::string& state = "ready");
    unsigned deregister(stand_in_replica& replica, std::size_t host);
    /** Starts sending heartbeats from each replica added so far. If a host does not answer, the next one is
     * used. */
    void start_heartbeats();
    /** @return the number of replicas that a host knows, from its metrics */
    unsigned known_replicas(std::size_t host);
    /** @return the number of hosts that serve this version or a later one, from their metrics */
    std::size_t hosts_that_serve(int version);

    /** Submits a configuration to one host after the other, following redirects, until the answer is
     * conclusive. */
    unsigned submit(const std::string& document);
    /** Orders the evacuation of a zone, or withdraws the order, at one host after the other until the answer
     * is conclusive. @return its status */
    unsigned order_evacuation(const std::string& zone, bool active, std::size_t first_host = 0);
    std::optional<plain_response> describe();

    /**
     * Sends a caller's request to a host.
     *
     * @param connection  the caller's connection to that host; if nullptr, a new one that is closed after the
     * answer
     */
    std::optional<plain_response> request(std::size_t host, const std::string& authority,
                                          const std::string& path, int deadline_ms = 2'000,
                                          testing_support::persistent_connection* connection = nullptr);
    /** Sets the key that callers state. Call before the first request. */
    void use_key(const std::string& key) { set_caller_fields({{"authorization", "Bearer " + key}}); }
    /** Sets header fields that all later requests of callers carry. */
    void set_caller_fields(testing_support::header_fields fields) { m_caller_fields = std::move(fields); }
    /** Sets the function that returns the services that a path is counted for. Call before the first request.
     */
    void count_requests_by(std::function<std::vector<std::string>(const std::string&)> services_of) {
        m_services_of = std::move(services_of);
    }
    /** @return services that got more extra exchanges in a sliding window than the hosts' settings allow */
    std::vector<testing_support::extra_load_breach> extra_load_breaches();
    /**
     * @return windows in which replicas received more requests than the limits that they stated allow; all
     * hosts count as told from the first statement to any of them
     */
    std::vector<testing_support::request_limit_breach> request_limit_breaches();
    /** Makes a replica state no limit on requests any more. */
    void lift_request_limit(stand_in_replica& replica);
    /** @return the total number of extra exchanges that a service got */
    std::size_t extra_load(const std::string& service);
    /** @return the number of crashes of replicas that ran a request for `crashing_path` */
    unsigned crashes() const { return m_crashes; }
    /** @return requests that a replica ran although the answer to their caller was "not run" */
    std::vector<std::string> requests_run_after_refusal();
    /** @return requests that a replica ran although their caller's connection ended without an answer */
    std::vector<std::string> requests_run_without_answer();
    /** @return requests that the replicas of a service ran more than once */
    std::vector<std::string> requests_run_twice(const std::string& service);
    /** @return requests whose answer was not their replica's own first reply to them */
    std::vector<std::string> requests_answered_wrongly();
    /** @return the id of the last request sent */
    std::string last_request() const { return "r" + std::to_string(m_next_request - 1); }
    /** Waits until a host has logged the end of a request. @return the output of `tamarackctl explain` */
    std::string explain(std::size_t host, const std::string& request);
    bool ready(std::size_t host);
    std::set<std::string> directory(std::size_t host);

    std::string callers_address(std::size_t host) const { return ip_of(host) + ":" + port(0); }
    /** @return the address of a listener: front, ready, control, directory, hosts, operators */
    std::string address_of(std::size_t host, std::size_t listener) const {
        return ip_of(host) + ":" + port(listener);
    }
    std::string ip_of(std::size_t host) const { return "127.0.77." + std::to_string(host + 1); }
    std::size_t hosts() const { return m_disk_hosts + m_entry_hosts; }
    std::string logs() const { return m_processes.logs(); }

private:
    std::string name_of(std::size_t host) const { return "host-" + std::to_string(host); }
    std::string port(std::size_t which) const { return std::to_string(m_ports[which].port()); }
    std::string settings_of(std::size_t host) const;
    /** @return the value of a host's metric without a label; 0 if the host does not answer */
    unsigned metric_of(std::size_t host, const std::string& name);
    std::optional<plain_response> control_call(std::size_t first, const plain_request& request);
    void answer(stand_in_replica& replica, const plain_request& request,
                const testing_support::plain_responder& respond);
    void crash(stand_in_replica& replica);
    void state_request_limit(stand_in_replica& replica, plain_response& response);
    void serve(stand_in_replica& replica, const plain_request& request,
               const testing_support::plain_responder& respond);
    void send_heartbeats(stand_in_replica& replica, std::size_t first_host);
    std::chrono::microseconds elapsed() const;
    void run_on_loop(const std::function<void()>& work);
    std::vector<std::string> requests_run_of(const std::set<std::string>& requests);
    /** Compares an answer with the first reply that had its stamp, whatever the replica sent later. */
    void check_answer(const std::string& request, const plain_response& answer);

    std::size_t m_disk_hosts;
    std::size_t m_entry_hosts;
    replica_path m_path;
    std::vector<testing_support::port_reservation>
        m_ports; ///< front, ready, control, directory, hosts, operators
    testing_support::process_group m_processes;
    testing_support::event_loop m_loop;
    std::thread m_loop_thread;
    std::map<std::string, std::unique_ptr<stand_in_replica>> m_replicas;
    bool m_first_start = true;
    bool m_revokes_keys_everywhere = false;
    bool m_evacuates_data_centers = false;
    testing_support::header_fields m_caller_fields;
    std::string m_more_limits; ///< lines that follow the section `[limits]` of the template
    std::atomic<unsigned> m_next_request{1};
    std::atomic<unsigned> m_crashes{0};
    std::mutex m_records; ///< guards the records below: replicas and callers run on several threads
    std::map<std::pair<std::string, std::string>, unsigned> m_runs; ///< by service and request
    std::map<std::string, replica_reply> m_replies;                 ///< first reply with each stamp
    std::vector<std::string> m_answered_wrongly;
    std::set<std::string> m_refused;
    std::set<std::string> m_unanswered;
    testing_support::extra_load_check m_extra_load;
    testing_support::request_limit_check m_request_limits;
    std::function<std::vector<std::string>(const std::string&)> m_services_of;
    std::chrono::steady_clock::time_point m_started_at = std::chrono::steady_clock::now();
    std::atomic<bool> m_ending{false};
    std::vector<std::thread> m_heartbeats; ///< one thread per replica
};

} // namespace tamarack::platform_integration
