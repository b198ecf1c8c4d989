#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace tamarack {

/** What a timer refers to. */
enum class timer_kind {
    run,        ///< a request
    target,     ///< one incarnation of a target
    connection, ///< a connection
    slot,       ///< a slot held for an exchange whose end was not observed
    lingering,  ///< a connection closed here that its target may not have noticed
    losses,     ///< losses recorded by crash_detector; those that are too old are dropped
};

/** A time at which the thing that the timer refers to is checked. Timers no longer needed are harmless. */
struct timer {
    time_point at{};
    timer_kind kind = timer_kind::run;
    std::uint64_t number = 0;

    bool operator>(const timer& other) const { return at > other.at; }
};

/** Timers, ordered by their times. */
class timer_queue {
public:
    void add(time_point at, timer_kind kind, std::uint64_t number) { m_timers.push({at, kind, number}); }

    /** Removes the earliest timer if it is due. @return the timer, or nothing if none is due */
    std::optional<timer> take_due(time_point now) {
        if (m_timers.empty() || m_timers.top().at > now) {
            return std::nullopt;
        }
        const timer due = m_timers.top();
        m_timers.pop();
        return due;
    }

    /** @return when the next timer is due, or time_point::max() if there is none */
    time_point next() const { return m_timers.empty() ? time_point::max() : m_timers.top().at; }

private:
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
};

} // namespace tamarack
