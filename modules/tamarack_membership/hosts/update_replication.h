#pragma once

#include "../targets/target_registry.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace tamarack {

/** Copies and timeouts of an update_replication. */
struct replication_options {
    std::size_t copies = 2;          ///< number of other hosts that must confirm; all if there are fewer
    duration retry_interval = 150ms; ///< after this, further hosts replace those that have not confirmed
    duration timeout = 600ms;        ///< must be less than the second that a target waits for an answer
};

/**
 * Replicates the records of targets that are draining or have ended before they are acknowledged: waits until
 * other hosts have confirmed that they hold a record and forward it.
 *
 * Failure pattern: a host is lost right after it has acknowledged that a target has ended, before it has told
 * any other host. The target does not announce itself again, so the other hosts would go on using it.
 */
class update_replication {
public:
    /** Called with `done`, or with `unavailable` if too few hosts have confirmed within the timeout. */
    using completion = std::function<void(const outcome<done>&)>;

    /** A record that must be sent to a host now, which confirms the number. */
    struct request {
        std::uint64_t number = 0;
        host_id to;
        target_record record;
    };

    explicit update_replication(replication_options options) : m_options(options) {}

    /**
     * Starts to replicate a record. If the same record is being replicated already, it is not sent again.
     *
     * @param candidates  other running hosts, in order of preference; must not be empty
     * @param completed   called from on_confirmation or on_timer
     */
    void begin(time_point now, const target_record& record, std::vector<host_id> candidates,
               completion completed);

    /** A host has confirmed that it holds and forwards a record. */
    void on_confirmation(std::uint64_t number, const host_id& host);

    /** Sends records to further hosts, and gives up those whose timeout has passed. */
    void on_timer(time_point now);

    /** @return the records to send now; they are then considered sent */
    std::vector<request> take_requests() { return std::exchange(m_requests, {}); }

    /** @return when on_timer must be called next; max if nothing is pending */
    time_point next_timer() const;

private:
    struct pending_record {
        target_record record;
        std::vector<host_id> unasked; ///< candidates in reverse order of preference
        std::vector<host_id> asked;   ///< that have not confirmed
        std::size_t missing = 0;      ///< number of confirmations still needed
        time_point ends_at;
        time_point retry_at;
        std::vector<completion> completions;
    };

    void ask_further_hosts(time_point now, std::uint64_t number, pending_record& pending);
    static void complete(const std::vector<completion>& completions, const outcome<done>& result);

    replication_options m_options;
    std::map<std::uint64_t, pending_record> m_pending;
    std::vector<request> m_requests;
    std::uint64_t m_next_number = 1;
};

} // namespace tamarack
