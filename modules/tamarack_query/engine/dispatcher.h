#pragma once

#include "engine_core.h"

namespace tamarack {

/**
 * Sends exchanges: chooses replicas, observes the limits on slots and connections, and opens connections
 * before they are needed.
 *
 * A content is called unproven until a target has completed a request with it.
 */
class dispatcher {
public:
    explicit dispatcher(engine_core& core) : m_core(core) {}

    /**
     * Sends an exchange now, provided that a replica has a free slot and an idle connection.
     *
     * @return false if there is none; connections are then opened where that would help
     */
    bool try_send(query_run& run, std::size_t shard_index, attempt_kind kind);
    /** Sends an exchange now, or queues it until a replica has a free slot and an idle connection. */
    void send_or_queue(query_run& run, std::size_t shard_index, attempt_kind kind);
    /** Queues a hedge, ahead of all other waiting exchanges, until a replica has a free slot. */
    void queue_hedge(query_run& run, std::size_t shard_index);
    /** Sends waiting exchanges of shards whose slots or connections have changed. */
    void send_waiting();

    /** Sends a non-idempotent request on the connection that was probed for it. */
    void send_probed(query_run& run, connection& used);

    /** @return the factor, from 0 to 1, on the extra load earned now; at 0 no hedge is sent */
    double load_scale(const service_state& service) const;

    /** Opens connections before they are needed: one for each slot that this host may use, and one more. */
    void keep_warm(const replica_pointer& target);
    /** Called when a connection could not be opened or was lost: delays the next attempt to open one. */
    void on_dial_failed(const replica_pointer& target);
    /** Frees the slot of an exchange that has ended. */
    void free_slot(replica& target);
    /** Keeps the slot of an exchange taken for some time, because the target may still be running it. */
    void hold_slot(const replica& target, const carried_exchange& carried);
    /** Abandons an attempt whose reply is no longer needed. */
    void abandon(const attempt& unwanted);
    /** Closes a connection without waiting for the reply to its exchange. */
    void close_without_reply(connection& closed);

private:
    engine_core& m_core;
    std::vector<replica_pointer> m_eligible;
    std::vector<replica_candidate> m_candidates;

    void send_waiting(shard_state& shard);
    /** @return whether the waiting exchange was sent or is no longer needed */
    bool send_next(shard_state& shard, std::size_t index);
    static bool is_wanted(const query_run& run, const waiting_exchange& waiting);
    void list_candidates(const query_run& run, const shard_run& part, attempt_kind kind);
    void add_candidate(const replica_pointer& target, duration expected, request_number request);
    bool has_free_slot(const replica& target) const;
    double ramp_of(const replica& target) const;
    bool is_ejected(const replica& target) const;
    void prefer_untried(const shard_run& part);
    /**
     * Avoids targets that run another unproven content: if such a target crashed, the cause would be
     * ambiguous.
     *
     * @param strictly  whether no candidate is kept if all of them run such content
     */
    void avoid_unproven(bool strictly);
    void prefer_not_ejected();
    void prefer_ramped_up();
    template <typename Unwanted>
    void drop_candidates(Unwanted unwanted);
    void dial_where_it_helps(const query_run& run, const shard_run& part);
    void send(query_run& run, std::size_t shard_index, attempt_kind kind, connection& used);
    void probe(query_run& run, std::size_t shard_index, connection& used);
    void plan_hedge(query_run& run, shard_run& part);
    /** Records the time that an abandoned exchange has run so far as a lower bound of its latency. */
    void observe_unfinished(const connection& used);
    void count_attempt(query_run& run, attempt_kind kind);
};

} // namespace tamarack
