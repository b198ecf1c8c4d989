#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/**
 * Finds requests that crash the targets that run them.
 *
 * Load pattern: a request that crashes each target that runs it comes again and again, at any host, while
 * other exchanges lose their connections for other reasons. An exchange that is lost counts against its
 * content only when its target can't be reached right after, and only once for each target. Two targets lost
 * to one content are evidence: it is not sent to a second target any more.
 */
class crash_evidence {
public:
    /** A content is remembered for this long after the last loss; callers come back within seconds. */
    static constexpr duration remembered_for = 60s;

    /** A target could not be reached right after it was lost to a content. */
    struct confirmed_loss {
        digest content;
        std::size_t targets = 0; ///< lost to the content so far
        bool found = false;      ///< there is evidence now, and was none before: other hosts are to be told
    };

    /** An exchange ended with its connection, without a reply. */
    void on_exchange_lost(time_point now, const target_id& target, const digest& content);

    /**
     * A connection to a target could not be opened.
     *
     * @return the losses that this confirms
     */
    std::vector<confirmed_loss> on_target_unreachable(time_point now, const target_id& target);

    /** Another host has had evidence against a content since a time. */
    void on_told(time_point found_at, const digest& content);

    /** @return whether there is evidence against a content; what was seen long ago does not count */
    bool crashes_targets(time_point now, const digest& content) const;

    /** @return targets that were lost to a content, as far as this host knows */
    std::size_t targets_lost_to(const digest& content) const;

    /** @return whether anything is suspected at all: otherwise no digest need be computed */
    bool empty() const { return m_suspects.empty(); }

private:
    struct lost_exchange {
        digest content;
        time_point at{};
    };
    struct suspect {
        std::set<target_id> lost_targets;
        bool told = false; ///< by another host
        time_point last{};
    };

    void forget(time_point now);

    std::map<target_id, std::vector<lost_exchange>> m_lost;
    std::map<std::string, suspect> m_suspects; ///< by the hexadecimal text of the content's digest
};

} // namespace tamarack
