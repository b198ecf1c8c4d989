#pragma once

#include "crash_loss.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tamarack {

/**
 * Records which targets were lost to which contents, as far as this host knows.
 *
 * Load pattern: many targets crash at once while running harmless requests, and one request crashes every
 * target that runs it. When the records are full, a content without evidence is evicted, the oldest first;
 * contents with evidence are kept.
 */
class crash_records {
public:
    /** Number of targets that must be lost to one content to count as evidence against it. */
    static constexpr std::size_t targets_for_evidence = 2;
    /** Retention of a single loss; callers retry within seconds. */
    static constexpr duration loss_remembered_for = 60s;
    /** Retention of evidence after the last loss. */
    static constexpr duration evidence_remembered_for = 10min;
    /** Bound on the number of contents. */
    static constexpr std::size_t max_contents = 1'000;

    /** Adds a loss. */
    void add(time_point now, const crash_loss& loss);
    /** Removes a content, after a target completed a request of it. */
    void clear(const digest& content) { m_contents.erase(content.hex()); }

    bool empty() const { return m_contents.empty(); }
    /** @return number of targets lost to a content, without expired losses */
    std::size_t targets_lost_to(time_point now, const digest& content) const;
    /** @return whether there is evidence that a content crashes targets */
    bool is_evident(time_point now, const digest& content) const;
    /** @return time of the last loss to a content; the epoch if there is none */
    time_point last_loss(const digest& content) const;
    /** @return up to `most` recorded losses, those of the contents with the most lost targets first */
    std::vector<crash_loss> losses(time_point now, std::size_t most) const;

private:
    struct record {
        std::map<target_incarnation, time_point> targets;
        bool reported_without_target = false; ///< evidence from a host of the previous release
        time_point last{};

        bool is_evident() const;
        bool is_current(time_point now) const;
    };

    const record* find(time_point now, const digest& content) const;
    bool make_room(time_point now);

    std::map<std::string, record> m_contents; ///< by the content's digest in hexadecimal
};

} // namespace tamarack
