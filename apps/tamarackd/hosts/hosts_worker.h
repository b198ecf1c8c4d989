#pragma once

#include "../forwarding/forwarding_worker.h"
#include "../serving/serving_worker.h"
#include "control_host_registry.h"
#include "crash_suspicion_notifier.h"
#include "forwarding_inputs_builder.h"
#include "host_links.h"
#include "host_methods.h"
#include "peer_inquiry.h"
#include "readiness_gate.h"
#include "target_store.h"

#include <tamarack_control/tamarack_control.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace tamarack {

/** Calls from the hosts worker to the other workers. The control hooks are empty on a host without the
 * control role. */
struct hosts_hooks {
    std::function<bool(raft_envelope)> to_raft;
    std::function<bool(control_message)> to_control;
    std::function<bool(serving_inputs)> to_serving;
    std::function<bool(forwarding_inputs)> to_forwarding; ///< used instead of to_serving at the platform edge
    std::function<bool(std::vector<member_id>)> bootstrap; ///< starts the replicated log
    std::function<bool(std::vector<voter_candidate>)> voter_candidates;
    std::function<bool(time_point)> lease;
    std::function<bool(request_number, claim_answer)> claim_answer_for;
    std::function<bool(request_number)> claim_failed_for;
    std::function<bool(broadcast_crash_suspicion)> crash_suspicion;
    std::function<bool(const crash_loss&)> quarantine;
    std::function<bool(target_incarnation, limit_statement)> request_limit;
    std::function<bool(tamarack::team_grant)> team_grant; ///< an answer of the server of team limits
    std::function<std::uint64_t()> exchange_count;        ///< exchanges with targets since the start
    target_store* stored_targets = nullptr; ///< targets kept across restarts; nullptr without a disk
};

/** Rate limit of log lines about teams' states; many teams may change together. Metrics count every change.
 */
inline constexpr double team_lines_per_second = 10.0;
inline constexpr double team_lines_burst = 100.0;
/** Interval at which the server of team limits learns the number of hosts. */
inline constexpr duration team_server_review_interval = 500ms;

/** Time in which the update that a host is leaving reaches every host. */
inline constexpr duration directory_margin = 2s;

/** The state of the hosts worker, for the operators' edge. */
struct hosts_overview {
    std::vector<host_record> hosts;
    std::vector<target_record> targets;
    ticket_number ticket;
    digest ticket_content;
    assignment assigned;
    bool assignment_settled = false;
    time_point lease_ends_at;
    host_id leader;
    bool isolated = false;
    std::map<host_id, member_id> identities; ///< last announced identities of the control hosts
    host_link_counts traffic;
};

/**
 * Runs the communication with other hosts on a worker thread: JSON-RPC links, control client, failure
 * detector and target registry.
 */
class hosts_worker {
public:
    /**
     * @param host_settings  the host's settings; must outlive the worker
     * @param incarnation    this process's incarnation
     * @param identity       this host's identity in the log; its host is empty without the control role
     * @param metrics        must outlive the worker
     * @param hooks          calls to the other workers
     */
    hosts_worker(const settings& host_settings, incarnation_id incarnation, member_id identity,
                 metric_registry& metrics, hosts_hooks hooks);

    /**
     * Starts listening. Must be called before start.
     *
     * @param callers  the bound callers' address, published to other hosts; empty on a control-only host
     * @return the bound address for hosts
     */
    outcome<endpoint> listen(const endpoint& callers);
    void start();
    void stop();

    /** From any thread: sends messages of the control worker to other hosts. */
    bool post_raft(raft_envelope envelope);
    bool post_control(send_control_message message);
    /** From any thread: the log on this host has accepted this configuration. */
    bool post_committed(shared_configuration latest);

    /** From any thread: requests of the workers that serve callers and targets. */
    bool post_announcement(announcement value, std::function<void(outcome<announcement_receipt>)> answer);
    bool post_deregistration(target_id target, std::optional<incarnation_id> incarnation,
                             std::function<void(outcome<done>)> answer);
    /** A target has stated in a reply that this incarnation of it accepts no new work. */
    bool post_target_leaving(target_id target, incarnation_id incarnation);
    /** Passes the leader of the control hosts, as known to this host, to `answer`. */
    bool post_leader(std::function<void(host_id)> answer);
    bool post_commit(commit_claim claim);
    bool post_record(record_claim_result ended);
    /** Calls `on_confirmed` on the worker's thread once the other hosts of the service have confirmed, or
     * after the timeout. */
    bool post_crash_suspicion(broadcast_crash_suspicion found, std::function<void()> on_confirmed);
    bool post_quarantine(const broadcast_quarantine& found);
    /** From any thread: a target was lost while it ran a request with this content. */
    bool post_crash_loss(crash_loss loss);

    /** From any thread: reports to all other hosts what a target states about its request limit. */
    bool post_request_limit(broadcast_request_limit report);

    /** From any thread: sends a report to the server of team limits, which may be this host. */
    bool post_team_use(team_use report);

    /** From any thread: the seeds have changed in the settings. */
    bool post_seeds(std::vector<seed_host> seeds);

    /** From any thread: leaves the directory; or leaves the membership and releases the lease. */
    bool post_draining();
    bool post_leave();

    bool post_overview(std::function<void(hosts_overview)> answer);

private:
    void register_methods();
    /** @return the other live hosts that a service is assigned to, with their addresses */
    std::map<host_id, endpoint> other_hosts_of(const service_id& service) const;
    void on_timer(time_point now);
    void run_periodic_work(time_point now);
    void store_targets(time_point now);
    void carry_out(control_client_actions actions);
    void carry_out(membership_actions actions);
    void on_host_changed(const host_record& record);
    void send_crash_loss(const host_record& host, const crash_loss& loss);
    /** Replicates the record of a target that is draining or has ended to other hosts, unless they hold it.
     * The completion may be called at once. */
    void replicate_withdrawal(time_point now, const target_id& target,
                              std::function<void(outcome<done>)> completed);
    /** Updates timers and schedules new inputs for the serving or forwarding worker. Called after each event.
     */
    void finish_event();
    void send_inputs(time_point now);
    /** Enters the directory once this host can serve; until then it is published as draining. */
    void enter_directory(time_point now);
    /** Starts or stops draining as ordered by the ticket in force. Once drained, the host is removed from the
     * assignment. */
    void apply_drain_order(time_point now);
    bool is_assigned(const host_id& host, const service_id& service) const;
    bool is_assigned_any() const;
    void send_control(const host_id& to, const endpoint& address, const control_message& message);
    void route_control(const control_message& message);
    endpoint address_of(const host_id& host) const;
    hosts_overview overview() const;

    const settings& m_settings;
    incarnation_id m_incarnation;
    member_id m_identity;
    metric_registry& m_metrics;
    hosts_hooks m_hooks;
    worker_thread m_thread;
    host_dispatcher m_dispatcher;
    http_server m_server;
    host_links m_links;
    control_host_registry m_control_hosts;
    crash_suspicion_notifier m_crash_suspicions;
    crash_records m_crashes;
    endpoint m_address;
    std::unique_ptr<control_client> m_control;
    std::unique_ptr<target_registry> m_registry;
    std::unique_ptr<failure_detector> m_detector;
    std::unique_ptr<timer_loop> m_timer;
    void send_identity();
    void publish_load(time_point now);

    /** @return whether this host may be the server of team limits */
    bool leads_teams(time_point now) const;
    void review_team_server(time_point now);
    void on_team_use(const team_use& report);
    void on_team_grant(const team_grant& grant);
    void send_team_grant(const host_id& to, const team_grant& grant);
    /** Announces and logs the changes of teams' states. */
    void announce_team_changes(time_point now);

    void update_control_hosts();
    void query_peer(time_point now);
    void answer_peer(const configuration_inquiry& inquiry);
    /** Ends the lease if the machine was suspended since the last call. */
    void observe_suspension(time_point now);
    /** Returns the memory that the handling of a changed configuration has freed. */
    void return_memory_later();

    std::vector<seed_host> m_seeds;              ///< as last set
    std::map<host_id, host_record> m_seen_hosts; ///< as last reported by the detector
    std::unique_ptr<forwarding_inputs_builder> m_inputs_builder;
    load_reporter m_load_reporter;
    std::unique_ptr<team_limit_server> m_team_server; ///< only while this host leads the control hosts
    time_point m_team_server_review_at{};
    ticket_number m_team_limits_ticket;                 ///< whose limits the server has
    std::map<team_number, std::string> m_limited_teams; ///< names for the log
    rate_limiter m_team_lines{team_lines_per_second, team_lines_burst};
    time_point m_next_periodic_work{};
    time_point m_next_inputs = time_point::max();
    std::uint64_t m_sent_generation = 0;
    std::uint64_t m_stored_generation = 0;
    bool m_inputs_stale = true;
    bool m_hosts_stale = false; ///< hosts have changed since the last inputs
    bool m_isolated = false;
    serving_view_pointer m_view;
    readiness_gate m_readiness;
    peer_inquiry m_inquiry;
    duration m_suspended{}; ///< total time for which the machine was suspended
    bool m_memory_return_pending = false;
    bool m_in_directory = false;
    bool m_leaving = false;
    bool m_drain_ordered = false;
    time_point m_directory_expired_at = time_point::max(); ///< when cached directory answers expire
};

} // namespace tamarack
