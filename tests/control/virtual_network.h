#pragma once

#include "event_queue.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace tamarack {

/** How messages fare on their way. */
struct network_conditions {
    double loss = 0;
    double duplicates = 0;
    double late = 0; ///< share of messages that take up to max_late_delay
    duration min_delay = 200us;
    duration max_delay = 3ms;
    duration max_late_delay = 4s;
};

/** Carries messages between hosts in virtual time; cuts are silent and may be one-way. */
class virtual_network {
public:
    virtual_network(event_queue& events, random_source& random) : m_events(events), m_random(random) {}

    void send(const host_id& from, const host_id& to, const std::function<void()>& deliver) {
        if (m_cuts.contains({from, to}) || m_random.chance(conditions.loss)) {
            return;
        }
        const int copies = m_random.chance(conditions.duplicates) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            m_events.after(delay() + m_slow[to], deliver);
        }
    }

    void cut(const host_id& from, const host_id& to) { m_cuts.emplace(from, to); }
    /** What is sent to a host takes this much longer from now on. */
    void slow_down(const host_id& to, duration extra) { m_slow[to] = extra; }
    void heal() {
        m_cuts.clear();
        m_slow.clear();
    }

    network_conditions conditions;

private:
    duration delay() {
        const bool late = m_random.chance(conditions.late);
        return m_random.between(conditions.min_delay,
                                late ? conditions.max_late_delay : conditions.max_delay);
    }

    event_queue& m_events;
    random_source& m_random;
    std::set<std::pair<host_id, host_id>> m_cuts;
    std::map<host_id, duration> m_slow;
};

} // namespace tamarack
