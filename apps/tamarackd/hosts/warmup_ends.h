#pragma once

#include <tamarack_membership/tamarack_membership.h>

#include <cstdint>
#include <map>

namespace tamarack {

/**
 * When the listed targets will be warm, by this host's clock.
 *
 * Load pattern: a target that runs already becomes cold again, for instance after it has loaded other data. A
 * later announcement of the same process may therefore extend its warm-up. The records say how long the
 * warm-up lasts, not until when, and are read again and again, so each announcement counts once.
 */
class warmup_ends {
public:
    /** Begins a listing of all targets. */
    void begin_listing() { m_listed.clear(); }

    /** @return when the target of a record will be warm, or was */
    time_point warm_at(time_point now, const target_record& record);

    /** Ends the listing: targets that were not listed are forgotten. */
    void end_listing() { m_known.swap(m_listed); }

private:
    struct known_end {
        incarnation_id incarnation;
        std::uint64_t sequence = 0; ///< of the announcement
        time_point warm_at;
    };

    std::map<target_id, known_end> m_known;
    std::map<target_id, known_end> m_listed;
};

} // namespace tamarack
