#pragma once

#include "crash_records.h"

#include <cstddef>
#include <map>
#include <vector>

namespace tamarack {

/** Why an exchange ended without a reply. */
enum class loss_cause {
    connection_lost, ///< the connection was closed by the target or broke
    unanswered,      ///< this host gave up after the target had been silent for long
};

/** Assessment of whether requests of one content crash their targets. */
enum class crash_verdict {
    clear,
    unconfirmed,     ///< two targets may have crashed while running it; they are being checked
    crashes_targets, ///< there is evidence: it is sent to one target of each service, without retry or hedge
    refused,         ///< it has crashed three targets, the last one recently: it is not sent at all
};

/**
 * Detects requests that crash the targets that run them.
 *
 * Load pattern: a request that crashes every target that runs it arrives again and again, at any host, while
 * other exchanges lose their connections for unrelated reasons. After each exchange without a reply its
 * target is checked by opening a connection, whether or not one is needed otherwise. The loss counts against
 * the content if the target cannot be reached, or if another process announces itself at its address. It
 * counts once per target, and on all hosts, whichever of them saw it. Two targets lost to one content are
 * evidence: the content is no longer sent to a second target. Three targets stop it for a while. A target
 * that completes a request of the content clears it.
 */
class crash_evidence {
public:
    /**
     * How long a content is refused after its last crash. One exchange may then show that the targets have
     * been fixed.
     */
    static constexpr duration refusal_time = 60s;
    /**
     * Upper bound for a check: a crashed process refuses connections immediately, and connecting to a host
     * without power ends at the connect timeout.
     */
    static constexpr duration max_check_time = 2s;
    /**
     * Delay before a loss is reported: longer than most retries take, and short compared with the seconds
     * within which all hosts have to know.
     */
    static constexpr duration report_delay = 300ms;
    /** At 300 hosts, this uses a tenth of a 20 Mbit/s link, with 200 bytes per loss and host. */
    static constexpr std::size_t max_reported_at_once = 4;
    static constexpr duration report_interval = 1s;

    /** A loss whose target was found to be gone. */
    struct confirmed_loss {
        crash_loss loss;
        std::size_t targets = 0;    ///< lost to the content so far, this one included
        bool newly_evident = false; ///< with this loss, the content's losses became evidence
    };

    /** Records that an exchange ended without a reply; its target, at this address, is to be checked. */
    void on_exchange_lost(time_point now, const target_incarnation& target, const endpoint& address,
                          const digest& content, loss_cause cause);

    /** @return whether a connection to the target should be opened to check that it is still running */
    bool awaits_check(const target_incarnation& target) const;
    /** Records that a connection for the check is being opened. */
    void on_check_started(const target_incarnation& target);
    /** Handles a failed connection attempt to a target. @return the losses that this confirms */
    std::vector<confirmed_loss> on_target_unreachable(time_point now, const target_incarnation& target);
    /** Handles an established connection: the target had not crashed when `opening_began`. */
    void on_target_reachable(const target_incarnation& target, time_point opening_began);
    /**
     * Handles the announcement of a process at an address.
     *
     * @return the losses of earlier processes there that this confirms
     */
    std::vector<confirmed_loss> on_target_announced(time_point now, const endpoint& address,
                                                    const target_incarnation& target);

    /** A target completed a request of this content: clears it. */
    void on_completed(const digest& content);
    /** Another host reported a loss. */
    void on_loss_reported(time_point now, const crash_loss& loss) { m_records.add(now, loss); }

    /**
     * Takes the losses that are due to be reported to the other hosts, those of the contents with the most
     * lost targets first, otherwise in the order in which they were found.
     *
     * Each loss is held back for report_delay: a harmless request that was running on targets crashed by
     * other requests is completed by its retry in the meantime, and is not reported.
     *
     * @return at most `max_reported_at_once` losses; the remaining ones are due after `report_interval`
     */
    std::vector<crash_loss> take_due_reports(time_point now);
    /** @return when take_due_reports is due; time_point::max() while there is nothing to report */
    time_point next_report_at() const;

    /** @return the assessment of a content; expired losses do not count */
    crash_verdict judge(time_point now, const digest& content) const;

    /** @return how much longer a content is refused; zero if it is not refused */
    duration remaining_refusal(time_point now, const digest& content) const;

    /** @return whether there is evidence against a content; expired evidence does not count */
    bool crashes_targets(time_point now, const digest& content) const {
        return m_records.is_evident(now, content);
    }

    /** @return number of targets lost to a content, as far as this host knows */
    std::size_t targets_lost_to(time_point now, const digest& content) const {
        return m_records.targets_lost_to(now, content);
    }

    /** @return whether no loss is recorded, in which case no digest has to be computed */
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
    /** Exchanges lost at one target, neither confirmed as crashes nor refuted. */
    struct unconfirmed_losses {
        endpoint address;
        bool check_started = false; ///< a connection has been opened, or is being opened, since the last loss
        std::vector<lost_exchange> exchanges;
    };
    void confirm(time_point now, const target_incarnation& target, const unconfirmed_losses& losses,
                 duration within, std::vector<confirmed_loss>& found);
    void remove_expired_losses(time_point now);

    std::map<target_incarnation, unconfirmed_losses> m_losses;
    std::vector<pending_report> m_pending_reports; ///< oldest first
    time_point m_no_report_before{};               ///< earliest time of the next report
    crash_records m_records;
};

} // namespace tamarack
