#pragma once

#include "engine_core.h"

namespace tamarack {

/** Puts exchanges on connections: chooses the replica, keeps to slots and connections, keeps connections
 * warm. */
class dispatcher {
public:
    explicit dispatcher(engine_core& core) : m_core(core) {}

    /**
     * Sends an exchange now, if a replica has a free slot and an idle connection.
     *
     * @return false when none has; connections are then being opened where that helps
     */
    bool try_send(query_run& run, std::size_t shard_index, attempt_kind kind);
    /** Sends an exchange now or as soon as a replica has a free slot and an idle connection. */
    void send_or_queue(query_run& run, std::size_t shard_index, attempt_kind kind);
    /** Sends a hedge as soon as a replica has a free slot, before what else waits. */
    void queue_hedge(query_run& run, std::size_t shard_index);
    /** Sends what waits on shards whose slots or connections changed. */
    void send_waiting();

    /** Sends a non-idempotent request on the connection that was proven live for it. */
    void send_probed(query_run& run, connection& used);

    /** @return which part of the budget for extra load hedges may use now */
    double load_scale(const service_state& service) const;

    /** Opens connections ahead of use, as many as exchanges could run. */
    void keep_warm(const replica_pointer& target);
    /** A connection could not be opened: the next one has to wait. */
    void on_dial_failed(const replica_pointer& target);
    /** An exchange's slot is free again. */
    void free_slot(replica& target);
    /** An exchange's end was not seen: its slot stays taken for a while. */
    void hold_slot(const replica& target, const carried_exchange& carried);
    /** Ends an attempt whose reply is no longer wanted. */
    void abandon(const attempt& unwanted);
    /** Closes a connection without awaiting the reply to what it carries. */
    void close_without_reply(connection& closed);

private:
    engine_core& m_core;
    std::vector<replica_pointer> m_eligible;
    std::vector<replica_candidate> m_candidates;

    void send_waiting(shard_state& shard);
    /** @return whether the waiting exchange was sent, or is no longer wanted */
    bool send_next(shard_state& shard, std::size_t index);
    static bool is_wanted(const query_run& run, const waiting_exchange& waiting);
    void list_candidates(const query_run& run, const shard_run& part, attempt_kind kind);
    void add_candidate(const replica_pointer& target, duration expected, request_number request);
    bool has_free_slot(const replica& target) const;
    double ramp_of(const replica& target) const;
    bool is_ejected(const replica& target) const;
    void prefer_untried(const shard_run& part);
    /** Two unknown contents at one target could not be told apart if it crashed. */
    void avoid_unproven(bool strictly);
    void prefer_not_ejected();
    void prefer_warm();
    template <typename Unwanted>
    void drop_candidates(Unwanted unwanted);
    void dial_where_it_helps(const query_run& run, const shard_run& part);
    void send(query_run& run, std::size_t shard_index, attempt_kind kind, connection& used);
    void probe(query_run& run, std::size_t shard_index, connection& used);
    void plan_hedge(query_run& run, shard_run& part);
    /** An exchange that is given up on took at least this long. */
    void observe_unfinished(const connection& used);
    void count_attempt(query_run& run, attempt_kind kind);
};

} // namespace tamarack
