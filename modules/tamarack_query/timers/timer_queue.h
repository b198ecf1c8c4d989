#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace tamarack {

/** What a timer wakes. */
enum class timer_kind {
    run,        ///< a request
    target,     ///< one incarnation of a target
    connection, ///< a connection
    slot,       ///< a slot held for an exchange whose end was not seen
    lingering,  ///< a connection closed unknown to its target
    losses,     ///< losses that were neither confirmed nor refuted
};

/** A moment at which something is looked at again; one that is no longer of use does no harm. */
struct timer {
    time_point at{};
    timer_kind kind = timer_kind::run;
    std::uint64_t number = 0;

    bool operator>(const timer& other) const { return at > other.at; }
};

/** Timers in the order of their time. */
class timer_queue {
public:
    void add(time_point at, timer_kind kind, std::uint64_t number) { m_timers.push({at, kind, number}); }

    /** @return the earliest timer whose time has come, removed; or nothing */
    std::optional<timer> take_due(time_point now) {
        if (m_timers.empty() || m_timers.top().at > now) {
            return std::nullopt;
        }
        const timer due = m_timers.top();
        m_timers.pop();
        return due;
    }

    /** @return the earliest time, or the end of time when there is none */
    time_point next() const { return m_timers.empty() ? time_point::max() : m_timers.top().at; }

private:
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
};

} // namespace tamarack
