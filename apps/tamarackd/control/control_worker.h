#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_storage/tamarack_storage.h>
#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace tamarack {

/** Calls from the control worker to the hosts worker. */
struct control_hooks {
    std::function<bool(raft_envelope)> send_raft;
    std::function<bool(send_control_message)> send_control;
    std::function<bool(shared_configuration)> committed; ///< called with the latest accepted configuration
};

/** The state of the control worker, for the operators' edge. */
struct control_overview {
    control_report report;
    shared_configuration current;
    std::vector<accepted_ticket> history;
    std::optional<rollout_status> force; ///< rollout of the latest ticket; set only on the leader
};

/**
 * Runs a control host: the replicated log and its state machine on a worker thread, the journal on a second
 * one.
 *
 * @see control_node
 */
class control_worker {
public:
    /**
     * @param host_settings  the host's settings; must outlive the worker
     * @param folder         the opened data folder
     * @param opened         its journal
     * @param log            the log recovered from the journal
     * @param metrics        must outlive the worker
     * @param hooks          calls to the hosts worker
     */
    control_worker(const settings& host_settings, const opened_folder& folder,
                   std::unique_ptr<journal> opened, recovered_log log, metric_registry& metrics,
                   control_hooks hooks);

    void start();
    void stop();

    const member_id& self() const { return m_self; }

    /** From any thread: handles a message from another control host, or from any host. */
    bool post_raft(raft_envelope envelope);
    bool post_control(control_message message);

    /** From any thread: runs an operator's command; `answer` is called on the control worker's thread. */
    bool post_bootstrap(std::vector<member_id> voters, std::function<void(outcome<done>)> answer);
    bool post_change_voters(std::vector<member_id> voters, std::function<void(outcome<done>)> answer);
    bool post_ticket(ticket candidate, std::function<void(outcome<ticket_answer>, host_id leader)> answer);
    /** From any thread: has an evacuation order committed. Fails with not_leader like post_read_latest. */
    bool post_order(const evacuation_order& order, std::function<void(outcome<done>, host_id leader)> answer);
    bool post_overview(std::function<void(control_overview)> answer);
    /** Reads the latest configuration, confirmed by a majority. On a host that is not the leader, fails
     * with not_leader and passes the leader. */
    bool post_read_latest(std::function<void(outcome<shared_configuration>, host_id leader)> answer);
    /** Replaces lost voters if this host is the leader. @param candidates  all control hosts that have
     * announced their identity */
    bool post_voter_candidates(std::vector<voter_candidate> candidates);

    /** From any thread: transfers leadership before a graceful shutdown. */
    bool post_transfer_leadership();

private:
    void log_sent_configurations(const control_actions& actions) const;
    void carry_out(control_actions actions);
    void carry_out(store_change&& action);
    void carry_out(const answer_ticket& action);
    void carry_out(const answer_order& action);
    void carry_out(const answer_read& action);
    void carry_out(const control_changed& action);
    /** Stores a change, on the storage thread; tries again until the disk takes it. */
    void store(const std::shared_ptr<const persist_change>& change);
    void on_stored(std::uint64_t change, const outcome<done>& stored);
    control_overview overview() const;

    using ticket_answerer = std::function<void(outcome<ticket_answer>, host_id)>;

    member_id m_self;
    std::unique_ptr<journal> m_journal;
    metric_registry& m_metrics;
    control_hooks m_hooks;
    worker_thread m_thread;
    worker_thread m_storage;
    control_node m_node;
    timer_loop m_timer;
    std::map<std::uint64_t, ticket_answerer> m_operations;
    std::map<std::uint64_t, std::function<void(outcome<shared_configuration>, host_id)>> m_reads;
    std::map<std::uint64_t, std::function<void(outcome<done>, host_id)>> m_orders;
    voter_plan_options m_voter_options;
    std::uint64_t m_next_operation = 1;
    control_changed m_last;
    std::optional<time_point> m_journal_failed_at; ///< since when changes can't be stored
};

} // namespace tamarack
