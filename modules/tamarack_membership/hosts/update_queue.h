#pragma once

#include "membership_message.h"
#include "update_relays.h"

#include <cstddef>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace tamarack {

/**
 * Names of the hosts and targets whose changes are still to be sent, each with the number of remaining
 * copies.
 *
 * Holds names only: a message contains the record as it is when the message is composed.
 */
class update_queue {
public:
    /** The host or target that an update is about; exactly one of the two is set. */
    struct topic {
        host_id host;
        target_id target;

        friend bool operator==(const topic&, const topic&) = default;
        friend bool operator<(const topic& left, const topic& right) {
            return std::tie(left.host, left.target) < std::tie(right.host, right.target);
        }
    };

    /**
     * Adds an update. If it is queued already, its copies are counted anew.
     *
     * @param copies      number of probes that carry it, in addition to the pushes
     * @param expires_at  after this time no probe carries it; state comparison then repairs what was missed
     * @param push        the hosts to which it is also pushed immediately; nothing if it is not pushed
     */
    void add(const topic& about, std::size_t copies, time_point expires_at,
             std::optional<update_scope> push = update_scope::everyone);

    /**
     * @return the topics with the most remaining copies, at most `max_count`; one copy of each is counted as
     * sent
     */
    std::vector<topic> take_for_probe(time_point now, std::size_t max_count);

    /** A topic to push, with its scope. */
    struct pushed_topic {
        topic about;
        update_scope scope = update_scope::everyone;
    };

    /** @return up to `max_count` topics that have not been pushed yet; they are then considered pushed */
    std::vector<pushed_topic> take_for_push(std::size_t max_count);

    bool has_unpushed() const { return !m_unpushed.empty(); }
    bool empty() const { return m_pending.empty(); }

private:
    struct pending_update {
        std::size_t copies_left = 0;
        time_point expires_at;
    };

    void count_copy(const topic& about);

    std::map<topic, pending_update> m_pending;
    std::vector<topic> m_unpushed;
    std::map<topic, update_scope> m_scopes; ///< scopes of the topics in m_unpushed
};

} // namespace tamarack
