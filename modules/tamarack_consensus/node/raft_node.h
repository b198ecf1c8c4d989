#pragma once

#include "raft_actions.h"
#include "raft_options.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tamarack {

/** Where a proposal was put in the log; it is committed there or not at all. */
struct proposal_position {
    log_term term = 0;
    log_index index = 0;
};

/**
 * One member of the replicated log, apart from I/O.
 *
 * Feed it events with the time; carry out the returned actions in order. It is deterministic: the same events
 * and seed give the same actions.
 *
 * Watch out: nothing may be answered to anyone before the actions of the event were carried out, and a
 * persist_change counts only once on_persisted was called with its number.
 *
 * @see raft_actions.h, raft_options
 */
class raft_node {
public:
    /**
     * @param self      this member
     * @param recovered what its data folder held
     * @param options   times, bounds and protections
     * @param random    spreads election timeouts
     * @param now       time of the start
     */
    raft_node(member_id self, recovered_log recovered, raft_options options, random_source random,
              time_point now);
    ~raft_node();
    raft_node(raft_node&&) noexcept;
    raft_node& operator=(raft_node&&) noexcept;
    raft_node(const raft_node&) = delete;
    raft_node& operator=(const raft_node&) = delete;

    /** @return actions due right after construction: the state to restore, entries known to be committed */
    raft_actions start();

    /**
     * Forms the first history; only on a member with an empty log, and only on an operator's command.
     *
     * @param voters  the first voters, this member among them
     * @return the actions, or why it can't be done here
     */
    outcome<raft_actions> bootstrap(time_point now, std::vector<member_id> voters);

    /** A message arrived. */
    raft_actions on_message(time_point now, const raft_envelope& envelope);

    /** The time of next_timer has come; calling it earlier or more often does no harm. */
    raft_actions on_timer(time_point now);

    /** A persist_change is durable. */
    raft_actions on_persisted(time_point now, std::uint64_t number);

    /** A persist_change failed: the member stops voting and leading until it is constructed anew. */
    raft_actions on_persist_failed(time_point now);

    /**
     * Puts a command into the log.
     *
     * @param content    the command
     * @param[out] actions  receives what to do
     * @return its place, or not_leader or overloaded
     */
    outcome<proposal_position> propose(time_point now, std::string content, raft_actions& actions);

    /**
     * Adds, removes or replaces a voter; one change at a time. A new voter is brought level first.
     *
     * @param wanted     the voters wanted in the end; differs from the present ones by one host. The present
     *                   voters give up a change whose new voter never came level
     * @param[out] actions  receives what to do
     * @return done when the change has begun, or why not
     */
    outcome<done> change_voters(time_point now, std::vector<member_id> wanted, raft_actions& actions);

    /**
     * Asks for a moment at which the applied state is the latest committed one.
     *
     * @param read  the caller's number for it, returned in read_confirmed or read_refused
     */
    raft_actions confirm_read(time_point now, std::uint64_t read);

    /** The application offers its state up to an applied index, so that the log before it can be cut. */
    raft_actions on_snapshot(time_point now, log_index applied, std::string state);

    /** Hands leadership to the most advanced other voter, before a graceful shutdown. */
    raft_actions transfer_leadership(time_point now);

    /** @return when on_timer is due next */
    time_point next_timer() const;

    raft_role role() const;
    log_term term() const;
    /** @return the leader, as far as known */
    std::optional<member_id> leader() const;
    const log_members& members() const;
    const member_id& self() const;
    log_index committed() const;
    log_position last() const;
    /** @return whether this member may vote at present */
    bool may_vote() const;
    /**
     * Voters that this member does not count, neither for entries nor for elections.
     *
     * While it led, they held less than they had acknowledged to it, or they say themselves that their folder
     * was put back or damaged. Each needs its folder renewed (renew_data_folder).
     */
    std::vector<member_id> excluded_voters() const;
    /** @return voters whose host has told this member that it now runs another incarnation */
    std::vector<member_id> replaced_voters() const;
    /**
     * Tells a lost majority from a passing one: so many voters were replaced that no leader can be elected
     * again.
     *
     * The operator may put the original folders of enough hosts back in their place (moved, not copied), or
     * set all folders aside and form a new history with bootstrap, which gives up the old one.
     */
    bool quorum_lost() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
