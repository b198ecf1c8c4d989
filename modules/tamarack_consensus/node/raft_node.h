#pragma once

#include "raft_actions.h"
#include "raft_options.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarack {

/** Position of a proposal in the log; the proposal is committed there or not at all. */
struct proposal_position {
    log_term term = 0;
    log_index index = 0;
};

/**
 * One member of the replicated log, without I/O.
 *
 * Pass events with the current time, and carry out the returned actions in order. The same events and seed
 * give the same actions.
 *
 * No answer may be sent before the actions of the event have been carried out. A persist_change counts as
 * durable only once on_persisted is called with its number.
 *
 * @see raft_actions.h, raft_options
 */
class raft_node {
public:
    /**
     * @param self      this member
     * @param recovered state recovered from its data folder
     * @param options   times, limits and protections
     * @param random    randomises election timeouts
     * @param now       time of the start
     */
    raft_node(member_id self, recovered_log recovered, raft_options options, random_source random,
              time_point now);
    ~raft_node();
    raft_node(raft_node&&) noexcept;
    raft_node& operator=(raft_node&&) noexcept;
    raft_node(const raft_node&) = delete;
    raft_node& operator=(const raft_node&) = delete;

    /** @return actions due right after construction, such as the snapshot to restore */
    raft_actions start();

    /**
     * Forms the first history of the log; only on a member with an empty log, and only on an operator's
     * command.
     *
     * @param voters  the first voters, this member among them
     * @return the actions, or why it can't be done here
     */
    outcome<raft_actions> bootstrap(time_point now, std::vector<member_id> voters);

    /** A message arrived. */
    raft_actions on_message(time_point now, const raft_envelope& envelope);

    /** Runs what is due at next_timer; calling it earlier or more often is harmless. */
    raft_actions on_timer(time_point now);

    /** The persist_change with this number is durable. */
    raft_actions on_persisted(time_point now, std::uint64_t number);

    /**
     * The persist_change in flight failed, and will be tried again. The member neither votes nor leads until
     * on_persisted reports that it is durable.
     */
    raft_actions on_persist_failed(time_point now);

    /**
     * Appends a command to the log.
     *
     * @param content    the command
     * @param[out] actions  receives the actions to carry out
     * @return its position, or not_leader or overloaded
     */
    outcome<proposal_position> propose(time_point now, std::string content, raft_actions& actions);

    /**
     * Adds, removes or replaces a voter; one change at a time. A new voter catches up as a learner first.
     *
     * @param wanted     the intended voters, which differ from the current ones by one host. Passing the
     *                   current voters abandons a change whose new voter never caught up
     * @param[out] actions  receives the actions to carry out
     * @return done when the change has begun, or why not
     */
    outcome<done> change_voters(time_point now, std::vector<member_id> wanted, raft_actions& actions);

    /**
     * Requests confirmation that the applied state is the latest committed one.
     *
     * @param read  the caller's number for the request, returned in read_confirmed or read_refused
     */
    raft_actions confirm_read(time_point now, std::uint64_t read);

    /**
     * Takes the application's state at an applied index as a snapshot, so that the log before it can be
     * compacted.
     */
    raft_actions on_snapshot(time_point now, log_index applied, std::string state);

    /** Transfers leadership to the most up-to-date other voter, before a graceful shutdown. */
    raft_actions transfer_leadership(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    raft_role role() const;
    log_term term() const;
    /** @return the leader, if known */
    std::optional<member_id> leader() const;
    const log_members& members() const;
    const member_id& self() const;
    log_index committed() const;
    log_position last() const;
    /** @return whether this member may vote at present */
    bool may_vote() const;
    /**
     * @return voters that this member doesn't count, neither for entries nor for elections
     *
     * While this member was the leader, their logs were shorter than they had acknowledged to it, or they
     * reported that their own folder was restored from an older copy or damaged. The folder of each must be
     * renewed (renew_data_folder).
     */
    std::vector<member_id> excluded_voters() const;
    /** @return voters whose host has reported to this member that it now runs another incarnation */
    std::vector<member_id> replaced_voters() const;
    /**
     * @return whether the majority is lost for good, not just temporarily: so many voters were replaced that
     *         no leader can be elected again
     *
     * The operator can move the original folders of enough hosts back into place (moved, not copied), or set
     * all folders aside and form a new history with bootstrap, which gives up the old one.
     */
    bool quorum_lost() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
