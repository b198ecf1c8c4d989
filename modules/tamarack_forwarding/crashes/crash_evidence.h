#pragma once

#include "crash_records.h"

#include <cstddef>
#include <map>
#include <vector>

namespace tamarack {

/** How an exchange ended that got no reply. */
enum class loss_cause {
    connection_lost, ///< from the target's side
    unanswered,      ///< from this side, after the target was silent for long
};

/** What is known of a content. */
enum class crash_verdict {
    clear,
    unconfirmed,     ///< two targets may have been lost to it; checks of them are under way
    crashes_targets, ///< there is evidence: it is sent to one target of each service, and not again
    refused,         ///< it has crashed three targets, the last one a short while ago: it is not sent at all
};

/**
 * Finds requests that crash the targets that run them.
 *
 * Load pattern: a request that crashes each target that runs it comes again and again, at any host, while
 * other exchanges lose their connections for other reasons. Each exchange without a reply calls for a check
 * whether its target is still there: a connection is opened for it, whether or not one is needed otherwise.
 * The loss counts against the content when the target can't be reached, or when another process announces
 * itself at its address; only once for each target, and at all hosts, whichever saw it. Two targets lost to
 * one content are evidence: it is not sent to a second target any more. Three stop it for a while. A target
 * that completes a request of the content clears it.
 */
class crash_evidence {
public:
    /** After the last crash; then one exchange may show that the targets were mended. */
    static constexpr duration refusal_time = 60s;
    /**
     * A check ends within this: a crashed process refuses connections from at once, and an opening to a host
     * without power ends at its limit.
     */
    static constexpr duration max_check_time = 2s;
    /** Longer than most repeats take, and short beside the seconds within which all hosts are to know. */
    static constexpr duration report_delay = 300ms;
    /** At 300 hosts, a tenth of a link of 20 Mbit/s with 200 bytes a loss and host. */
    static constexpr std::size_t max_reported_at_once = 4;
    static constexpr duration report_interval = 1s;

    /** A target is found to be gone after it was lost to a content. */
    struct confirmed_loss {
        crash_loss loss;
        std::size_t targets = 0;    ///< lost to the content so far
        bool newly_evident = false; ///< there is evidence now, and was none before
    };

    /** An exchange ended without a reply; its target, at this address, is to be checked. */
    void on_exchange_lost(time_point now, const target_incarnation& target, const endpoint& address,
                          const digest& content, loss_cause cause);

    /** @return whether a connection is to be opened to a target to see whether it is still there */
    bool awaits_check(const target_incarnation& target) const;
    /** Such a connection is being opened. */
    void on_check_started(const target_incarnation& target);
    /** A connection to a target could not be opened. @return the losses that this confirms */
    std::vector<confirmed_loss> on_target_unreachable(time_point now, const target_incarnation& target);
    /** A connection to a target is open whose opening began at some time: it did not crash before. */
    void on_target_reachable(const target_incarnation& target, time_point opening_began);
    /** A process announced itself at an address. @return the losses of earlier ones that this confirms */
    std::vector<confirmed_loss> on_target_announced(time_point now, const endpoint& address,
                                                    const target_incarnation& target);

    /** A target completed a request of this content. */
    void on_completed(const digest& content);
    /** Another host found a loss. */
    void on_loss_reported(time_point now, const crash_loss& loss) { m_records.add(now, loss); }

    /**
     * Takes losses that are due to be told to the other hosts, the oldest first.
     *
     * Each waits for a moment: a request that crashes nothing, and lost targets that others crashed, is
     * completed meanwhile by its repeat and is not told.
     *
     * @return `max_reported_at_once` at most; those left are due after `report_interval`
     */
    std::vector<crash_loss> take_due_reports(time_point now);
    /** @return when take_due_reports is due; the end of time while there is nothing to tell */
    time_point next_report_at() const;

    /** @return what is known of a content; what was seen long ago does not count */
    crash_verdict judge(time_point now, const digest& content) const;

    /** @return how much longer a content is refused; zero when it is not */
    duration remaining_refusal(time_point now, const digest& content) const;

    /** @return whether there is evidence against a content; what was seen long ago does not count */
    bool crashes_targets(time_point now, const digest& content) const {
        return m_records.is_evident(now, content);
    }

    /** @return targets that were lost to a content, as far as this host knows */
    std::size_t targets_lost_to(time_point now, const digest& content) const {
        return m_records.targets_lost_to(now, content);
    }

    /** @return whether any loss is on record: otherwise no digest need be computed */
    bool empty() const { return m_records.empty() && m_losses.empty(); }

private:
    struct lost_exchange {
        digest content;
        loss_cause cause = loss_cause::connection_lost;
        time_point at{};
    };
    struct pending_report {
        crash_loss loss;
        time_point due{};
    };
    /** Losses of one target that are neither confirmed nor refuted. */
    struct unconfirmed_losses {
        endpoint address;
        bool check_started = false; ///< a connection is being opened, or was, since the last loss
        std::vector<lost_exchange> exchanges;
    };
    void confirm(time_point now, const target_incarnation& target, const unconfirmed_losses& losses,
                 duration within, std::vector<confirmed_loss>& found);
    void remove_expired_losses(time_point now);

    std::map<target_incarnation, unconfirmed_losses> m_losses;
    std::vector<pending_report> m_pending_reports; ///< in the order in which they were found
    time_point m_no_report_before{};               ///< no more is told before
    crash_records m_records;
};

} // namespace tamarack
