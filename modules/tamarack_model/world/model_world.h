#pragma once

#include "../hosts/model_host.h"
#include "../hosts/model_ledger.h"
#include "world_options.h"
#include "world_report.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace tamarack {

/**
 * Simulates one service under load: entry hosts, targets and the network between them.
 *
 * Inject faults through targets(), silence_connections() and the published view; schedule them on events().
 */
class model_world {
public:
    explicit model_world(world_options options);
    model_world(const model_world&) = delete;
    model_world& operator=(const model_world&) = delete;
    model_world(model_world&&) = delete;
    model_world& operator=(model_world&&) = delete;
    ~model_world() = default;

    event_queue& events() { return m_events; }
    std::vector<std::unique_ptr<model_target>>& targets() { return m_targets; }
    const world_options& options() const { return m_options; }
    random_source& random() { return m_random; }

    /** Sends the targets' current state to all hosts, where it arrives after `view_delay`. */
    void publish();
    /** Changes the service definition in views that are published from now on. */
    void change_service(const service_definition& service) { m_options.service = service; }
    /**
     * Changes how many hosts share the replicas' limits. Until every host has received the change, each uses
     * the smaller of its old and its new share.
     */
    void change_sharing_hosts(std::size_t hosts);
    /** Sets the function that computes the load that a target reports. */
    void report_load(std::function<std::uint32_t(const model_target&)> report) {
        m_load_report = std::move(report);
    }
    /** Makes each open connection to a target silent with this probability, as if the network dropped it. */
    void silence_connections(const model_target& target, double share);
    /** Crashes a target and, after `down_for`, starts it as a new process. */
    void restart(model_target& target, duration down_for);
    /** Sends a request in addition to the generated load. @return its number */
    request_number offer(std::size_t host, std::string body, idempotency at_most_once = {});

    /** @return the number of complete answers so far, excluding the warm-up */
    std::uint64_t answered_so_far() const { return m_report.ended[0]; }

    /** Runs the load to its end, then continues until every request has been answered. */
    world_report run();

private:
    struct offered_request {
        request_id id;
        std::string body;
        time_point arrived_at{};
        time_point deadline{};
        idempotency_key key;
        bool counted = false;
        bool ran = false;
        bool answered = false;
    };

    struct link {
        std::size_t target = 0;
        duration one_way{};
        bool silent = false;
        bool closed = false;
    };

    world_options m_options;
    event_queue m_events;
    random_source m_random;
    std::vector<std::unique_ptr<model_target>> m_targets;
    std::unordered_map<std::string, std::size_t> m_target_index;
    std::vector<std::unique_ptr<model_host>> m_hosts;
    std::map<link_id, link> m_links;
    std::unordered_map<request_number, offered_request> m_requests;
    std::map<idempotency_key, std::uint32_t> m_runs_by_key;
    model_ledger m_ledger;
    std::size_t m_sharing_hosts;
    std::size_t m_previous_sharing_hosts;
    std::function<std::uint32_t(const model_target&)> m_load_report;
    request_number m_last_request = 0;
    world_report m_report;
    std::set<std::string> m_quarantined;

    void add_targets();
    void add_hosts();
    void on_crash(const std::string& body);
    action_handlers make_action_handlers(std::size_t host);
    duration one_way(std::size_t host, const model_target& target) const;
    serving_view_pointer make_view(std::size_t host) const;
    replica_view view_of(std::size_t host, const model_target& target) const;
    void offer_load(time_point until);

    void on_open(std::size_t host, const open_connection& action);
    void on_close(std::size_t host, const close_connection& action);
    void on_send(std::size_t host, const send_exchange& action);
    void on_cancel(std::size_t host, const cancel_exchange& action);
    void on_probe(std::size_t host, const probe_connection& action);
    void on_claim(std::size_t host, const commit_claim& action);
    void on_crash_suspicion(std::size_t host, const broadcast_crash_suspicion& action);
    void on_answer(const answer_caller& action);
    void on_ran(const exchange& started);
    void deliver_reply(const link_id& id, exchange_reply reply);
    void deliver_lost(const link_id& id);
    void check_parts(const offered_request& request, const query_answer& answer);
    void count_answer(const offered_request& request, const query_answer& answer);
    void finish_report();
};

} // namespace tamarack
