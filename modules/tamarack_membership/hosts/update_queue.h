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
 * Names of hosts and targets whose change is still to be told, each with the number of copies left.
 *
 * Holds names only: what is told is the record as it stands when a message is made.
 */
class update_queue {
public:
    /** What a piece of news is about; exactly one of the two is given. */
    struct topic {
        host_id host;
        target_id target;

        friend bool operator==(const topic&, const topic&) = default;
        friend bool operator<(const topic& left, const topic& right) {
            return std::tie(left.host, left.target) < std::tie(right.host, right.target);
        }
    };

    /**
     * Adds news, or starts the copies of known news anew.
     *
     * @param copies   on probes, besides the pushes
     * @param ends_at  from then on it is left to the comparison of states
     * @param push     to whom it is pushed at once too; nothing for nobody
     */
    void add(const topic& about, std::size_t copies, time_point expires_at,
             std::optional<update_scope> push = update_scope::everyone);

    /** @return up to `most` topics that have been told least, each counted as told once more */
    std::vector<topic> take_for_probe(time_point now, std::size_t max_count);

    /** A topic that is to be pushed, and to whom. */
    struct pushed_topic {
        topic about;
        update_scope scope = update_scope::everyone;
    };

    /** @return up to `most` topics that have not been pushed yet; they are then pushed */
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
    std::map<topic, update_scope> m_scopes; ///< of what is unpushed
};

} // namespace tamarack
