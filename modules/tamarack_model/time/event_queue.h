#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace tamarack {

/** Event queue in virtual time; events with the same time run in the order in which they were added. */
class event_queue {
public:
    using handler = std::function<void()>;

    time_point now() const { return m_now; }

    /** Adds an event. An event in the past is moved to the current time. */
    void at(time_point when, handler run) {
        m_events.push({std::max(when, m_now), ++m_last, std::move(run)});
    }
    void after(duration delay, handler run) { at(m_now + delay, std::move(run)); }

    /** Runs all events up to and including `end`, and sets the current time to it. */
    void run_until(time_point end) {
        while (!m_events.empty() && m_events.top().when <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.run();
        }
        m_now = end;
    }

private:
    struct event {
        time_point when;
        std::uint64_t order;
        handler run;

        bool operator>(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_last = 0;
    time_point m_now{};
};

} // namespace tamarack
