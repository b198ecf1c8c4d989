#pragma once

#include "crash_loss.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

/**
 * Keeps which targets were lost to which contents, as far as this host knows.
 *
 * Load pattern: many targets crash at once, each with requests that crash nothing, beside a request that
 * crashes what runs it. When there is no room, a content that one target was lost to gives way.
 */
class crash_records {
public:
    /** Targets lost to one content that are evidence against it. */
    static constexpr std::size_t targets_for_evidence = 2;
    /** A single loss is remembered for this long; callers come back within seconds. */
    static constexpr duration loss_remembered_for = 60s;
    /** Evidence is remembered for this long after the last loss. */
    static constexpr duration evidence_remembered_for = 10min;
    /** Contents on record. */
    static constexpr std::size_t max_contents = 1'000;

    /** A target was lost to a content. */
    void add(time_point now, const crash_loss& loss);
    /** A target completed a request of this content. */
    void clear(const digest& content) { m_contents.erase(content.hex()); }

    bool empty() const { return m_contents.empty(); }
    /** @return targets lost to a content, those forgotten left out */
    std::size_t targets_lost_to(time_point now, const digest& content) const;
    /** @return whether a content is known to crash targets */
    bool is_evident(time_point now, const digest& content) const;
    /** @return when the last target was lost to a content; long ago when none was */
    time_point last_loss(const digest& content) const;
    /** @return losses on record, those of contents that most targets were lost to first */
    std::vector<crash_loss> losses(time_point now, std::size_t most) const;

private:
    struct record {
        std::map<target_incarnation, time_point> targets;
        bool reported_without_target = false; ///< by a host of the release before, which names no targets
        time_point last{};

        bool is_evident() const;
        bool is_current(time_point now) const;
    };

    const record* find(time_point now, const digest& content) const;
    bool make_room(time_point now);

    std::map<std::string, record> m_contents; ///< by the hexadecimal text of the content's digest
};

} // namespace tamarack
