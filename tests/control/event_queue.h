#pragma once

#include <tamarack_base/tamarack_base.h>

#include <functional>
#include <map>
#include <utility>

namespace tamarack {

/** Events in virtual time, run in order. */
class event_queue {
public:
    time_point now() const { return m_now; }

    void at(time_point when, std::function<void()> event) {
        m_events.emplace(std::max(when, m_now), std::move(event));
    }

    void after(duration delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }

    /** Runs all events up to a time, and advances the clock to it. */
    void run_until(time_point end) {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = end;
    }

private:
    time_point m_now{1h};
    std::multimap<time_point, std::function<void()>> m_events;
};

/** A host's clock, with its own rate and offset. */
struct drifting_clock {
    double rate = 1;
    duration offset{};

    time_point local(time_point real) const {
        const auto count = static_cast<double>(real.time_since_epoch().count()) * rate;
        return time_point{duration{static_cast<duration::rep>(count)} + offset};
    }

    /** @return the earliest real time at which the clock shows at least the given time */
    time_point real(time_point local_moment) const {
        if (local_moment == time_point::max()) {
            return local_moment;
        }
        const auto count = static_cast<double>((local_moment - offset).time_since_epoch().count()) / rate;
        return time_point{duration{static_cast<duration::rep>(count) + 1}};
    }
};

} // namespace tamarack
