#pragma once

#include "event_queue.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace tamarack {

/** Faults and delays of messages. */
struct network_conditions {
    double loss = 0;
    double duplicates = 0;
    double late = 0; ///< share of messages that are delayed by up to max_late_delay
    duration min_delay = 200us;
    duration max_delay = 3ms;
    duration max_late_delay = 4s;
};

/** Delivers messages between hosts in virtual time. Cut links drop messages silently and may be one-way. */
class virtual_network {
public:
    virtual_network(event_queue& events, random_source& random) : m_events(events), m_random(random) {}

    void send(const host_id& from, const host_id& to, const std::function<void()>& deliver) {
        if (m_cuts.contains({from, to}) || m_random.chance(conditions.loss)) {
            return;
        }
        const int copies = m_random.chance(conditions.duplicates) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            m_events.after(delay() + m_extra_delays[to], deliver);
        }
    }

    void cut(const host_id& from, const host_id& to) { m_cuts.emplace(from, to); }
    /** Delays everything sent to a host by this additional time from now on. */
    void slow_down(const host_id& to, duration extra) { m_extra_delays[to] = extra; }
    void heal() {
        m_cuts.clear();
        m_extra_delays.clear();
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
    std::map<host_id, duration> m_extra_delays;
};

} // namespace tamarack
