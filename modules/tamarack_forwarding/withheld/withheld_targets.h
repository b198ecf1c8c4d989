#pragma once

#include "../limits/request_limit.h"
#include "target_backoff.h"

#include <deque>
#include <map>
#include <optional>

namespace tamarack {

/**
 * Remembers targets that are leaving, in backoff or under a request limit while they disappear from the view
 * and return.
 *
 * A target that announced that it is leaving gets no new work in that incarnation, even if it is listed as
 * usable afterwards. A backoff or a request limit stays in effect while the target's record disappears and
 * returns. Bounded: the oldest entry is evicted first.
 */
class withheld_targets {
public:
    /** A target announced in a reply that it is leaving. */
    void on_leaving(const target_id& target, incarnation_id incarnation);

    /** @return whether this incarnation of a target has announced that it is leaving */
    bool has_left(const target_id& target, incarnation_id incarnation) const;

    /** Saves the backoff of a target that is no longer usable. */
    void save_backoff(const target_id& target, incarnation_id incarnation, const target_backoff& backoff);

    /** @return the backoff saved for this incarnation of a target; if none was saved, one without limits */
    target_backoff backoff_of(const target_id& target, incarnation_id incarnation) const;

    /** Saves the request limit of a target that is no longer usable. */
    void save_limit(const target_id& target, incarnation_id incarnation, const request_limit& limit);

    /** @return the request limit saved for this incarnation of a target, if any */
    std::optional<request_limit> limit_of(const target_id& target, incarnation_id incarnation) const;

    std::size_t size() const { return m_entries.size(); }

    /** Bound on the number of entries: a few for each target of a large deployment. */
    static constexpr std::size_t max_entries = 8'192;

private:
    struct entry {
        incarnation_id incarnation;
        bool left = false;
        target_backoff backoff;
        std::optional<request_limit> limit;
    };

    entry& entry_of(const target_id& target, incarnation_id incarnation);
    const entry* find(const target_id& target, incarnation_id incarnation) const;

    std::map<target_id, entry> m_entries;
    std::deque<target_id> m_order; ///< oldest first
};

} // namespace tamarack
