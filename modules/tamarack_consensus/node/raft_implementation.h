#pragma once

#include "../state/entry_log.h"
#include "raft_node.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/** The leader's state about another member. */
struct follower_progress {
    log_index next = 1;       ///< first entry to send
    log_index match = 0;      ///< last entry known to be durable there
    time_point last_reply_at; ///< time of the last reply
    std::uint64_t replied_round = 0;
    std::uint64_t matched_at_round = 0;          ///< last round sent before `match` was known
    std::uint64_t entries_round = 0;             ///< round of the entries in flight; 0 when there are none
    std::shared_ptr<const log_snapshot> sending; ///< snapshot being sent
    std::uint64_t sent_bytes = 0;                ///< acknowledged bytes of the snapshot
};

/** An election in progress. */
struct election_campaign {
    bool pre_vote = true;
    log_term term = 0;
    time_point retry_at; ///< when voters that have not granted yet are asked again
    std::set<member_id> granted;
};

/** A message held back until the state that it reports is durable. */
struct held_message {
    std::uint64_t change = 0; ///< number of the persist_change that must be durable
    raft_envelope envelope;
};

/** A read that waits for its confirmation round. */
struct waiting_read {
    std::uint64_t read = 0;
    log_index index = 0;
    time_point asked_at;
};

/** A snapshot being received in parts. */
struct incoming_snapshot {
    member_id from;
    log_position last;
    std::string state;
};

/**
 * State and behaviour of a raft_node. Each group of functions is defined in the file named above it.
 *
 * Every event sets the time, calls into one group and ends with finish, which returns the collected actions.
 */
struct raft_node::implementation {
    implementation(member_id self, recovered_log recovered, raft_options options, random_source random,
                   time_point now);

    // raft_node.cpp
    void dispatch(const raft_envelope& envelope);
    raft_actions finish();

    // persistence.cpp: state that must be durable, and the messages held back until it is
    void set_vote(durable_vote vote);
    void mark_unsaved_from(log_index index);
    void truncate_log(log_index index);
    bool has_unsaved() const;
    void flush();
    void on_persisted(std::uint64_t number);
    void on_persist_failed();
    void send(const member_id& to, raft_message message);
    void send_when_durable(const member_id& to, raft_message message);
    void release(const raft_envelope& envelope);

    // election.cpp: terms, votes and roles
    bool allowed_to_vote() const;
    bool is_voter(const member_id& member) const;
    /** Whether this member may start an election: as a voter, or while its removal is not committed yet. */
    bool may_campaign() const;
    bool same_member(const member_id& left, const member_id& right) const;
    std::size_t majority() const;
    void reset_election_timer();
    void on_election_timeout();
    void campaign(bool pre_vote);
    void ask_for_votes();
    void count_vote(const member_id& voter);
    void on_vote_request(const member_id& from, const vote_request& request);
    void on_vote_reply(const member_id& from, const vote_reply& reply);
    void on_election_request(const member_id& from, const election_request& request);
    bool leader_is_responsive() const;
    bool may_lead(const member_id& candidate, const log_position& last) const;
    void become_leader();
    void step_down(log_term term);
    void follow(log_term term, const member_id& leader);
    void refresh_role();
    void transfer_leadership();
    void continue_leadership_transfer();

    // replication.cpp: the leader's side of replication
    log_index append(log_entry entry);
    void broadcast();
    void send_entries(const member_id& to, follower_progress& progress);
    void send_heartbeat(const member_id& to, const follower_progress& progress);
    void on_heartbeat_timer();
    void check_quorum();
    follower_progress* progress_of(const member_id& member);
    bool accept_reply(const member_id& from, log_term term, log_index last, std::uint64_t round);
    void record_match(follower_progress& progress, log_index match, std::uint64_t round);
    void on_append_reply(const member_id& from, const append_reply& reply);
    void move_next_back(follower_progress& progress, const append_reply& reply);
    void advance_commit();
    void commit_to(log_index index);

    // following.cpp: the follower's side of replication
    void on_append_request(const member_id& from, const append_request& request);
    append_reply conflict_reply(const append_request& request) const;
    void accept_entries(const std::vector<log_entry>& entries);

    // reads.cpp: reads confirmed by a majority round
    void confirm_read(std::uint64_t read);
    void start_read_round();
    void finish_read_round();
    void refuse_reads();
    bool own_term_committed() const;

    // snapshots.cpp: log compaction, and the transfer of snapshots in parts
    void on_snapshot(log_index applied, std::string state);
    void send_snapshot_part(const member_id& to, follower_progress& progress);
    void on_snapshot_request(const member_id& from, const snapshot_request& request);
    void on_snapshot_reply(const member_id& from, const snapshot_reply& reply);
    void install(const snapshot_request& request);

    // membership.cpp: voters, learners and new incarnations
    outcome<done> bootstrap(std::vector<member_id> voters);
    outcome<done> change_voters(std::vector<member_id> wanted);
    outcome<done> check_change(const std::vector<member_id>& wanted) const;
    bool members_settled() const;
    void append_members(log_members members);
    void refresh_progress();
    void advance_membership();
    bool is_responsive(const member_id& member) const;
    bool is_counted(const member_id& member) const;
    bool has_responsive_quorum(const std::vector<member_id>& voters) const;
    bool is_caught_up(const member_id& learner) const;
    bool is_stale(const member_id& learner) const;
    void promote(const member_id& learner);
    void send_join_request(const member_id& to);
    void on_join_request(const member_id& from, const join_request& request);
    std::vector<member_id> excluded_voters() const;
    std::vector<member_id> replaced_voters() const;
    bool quorum_lost() const;

    member_id m_self;
    raft_options m_options;
    random_source m_random;
    time_point m_now;
    raft_actions m_actions;

    durable_vote m_vote;
    entry_log m_log;
    bool m_may_vote;
    bool m_fresh;
    bool m_storage_failed = false; ///< the change in flight failed and is being tried again

    raft_role m_role = raft_role::follower;
    std::optional<member_id> m_leader;
    role_changed m_reported;
    log_index m_committed = 0;
    bool m_has_seen_history = false; ///< a member of an existing log has sent this host a message

    std::uint64_t m_last_change = 0; ///< number of the last persist_change
    bool m_change_in_flight = false;
    log_index m_durable_after_change = 0; ///< last entry that will be durable once the change in flight is
    log_index m_durable = 0;              ///< last durable entry
    bool m_vote_unsaved = false;
    bool m_snapshot_unsaved = false;
    bool m_snapshot_replaces = false; ///< the snapshot replaces the whole log
    log_index m_truncate_from = 0;
    log_index m_unsaved_from = 0; ///< first entry not yet part of a persist_change
    std::deque<held_message> m_held_messages;

    time_point m_election_deadline;
    time_point m_last_leader_contact;
    std::optional<election_campaign> m_campaign;

    time_point m_heartbeat_deadline;
    std::map<member_id, follower_progress> m_progress;
    std::uint64_t m_round = 0;
    log_index m_term_start = 0;           ///< index of the leader's first entry of its term
    std::optional<member_id> m_successor; ///< voter that leadership is being transferred to
    time_point m_transfer_deadline;

    std::vector<waiting_read> m_reads_waiting;
    std::vector<waiting_read> m_reads_in_round;
    std::uint64_t m_read_round = 0; ///< replies from this round on confirm m_reads_in_round

    std::optional<incoming_snapshot> m_incoming;
    std::set<member_id> m_replaced;      ///< voters whose host reported that it runs another incarnation
    std::set<member_id> m_self_excluded; ///< voters that reported that they must not be counted
    std::set<member_id> m_excluded;      ///< voters whose log was shorter than they had acknowledged
};

} // namespace tamarack
