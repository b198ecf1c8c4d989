#pragma once

#include "target_backoff.h"

#include <deque>
#include <map>

namespace tamarack {

/**
 * What targets have asked of this host, kept over their way out of its view and back.
 *
 * A target that said that it leaves gets no new work in that incarnation, whoever names it as usable
 * afterwards; one that asked for a rest keeps it when its record comes and goes. Bounded: the oldest entry is
 * forgotten first.
 */
class withheld_targets {
public:
    /** A target said in an answer that it leaves. */
    void on_leaving(const target_id& target, incarnation_id incarnation);

    /** @return whether this incarnation of a target has said that it leaves */
    bool has_left(const target_id& target, incarnation_id incarnation) const;

    /** Keeps the rest of a target that is no longer usable. */
    void save_backoff(const target_id& target, incarnation_id incarnation, const target_backoff& backoff);

    /** @return the rest that a target had when it was last usable in that incarnation */
    target_backoff backoff_of(const target_id& target, incarnation_id incarnation) const;

    std::size_t size() const { return m_entries.size(); }

    /** Entries kept at most: a few for each target of a large deployment. */
    static constexpr std::size_t max_entries = 8'192;

private:
    struct entry {
        incarnation_id incarnation;
        bool left = false;
        target_backoff backoff;
    };

    entry& entry_of(const target_id& target, incarnation_id incarnation);
    const entry* find(const target_id& target, incarnation_id incarnation) const;

    std::map<target_id, entry> m_entries;
    std::deque<target_id> m_order; ///< oldest first
};

} // namespace tamarack
