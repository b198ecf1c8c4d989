#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <vector>

namespace tamarack {

/**
 * Selects the control host to ask: the presumed leader, else each control host in turn. Internal to the
 * module.
 *
 * After time-outs it selects the next host at most once in a retry interval, however many operations wait for
 * an answer.
 */
class control_route {
public:
    control_route(std::vector<host_id> hosts, duration retry, std::size_t first);

    /** @return the control host to ask now; empty when none is known */
    const host_id& target() const { return m_target; }

    /** @return the host that last answered as the leader, or empty */
    const host_id& leader() const { return m_leader; }

    /** Replaces the control hosts to ask; the presumed leader stays. */
    void set_hosts(std::vector<host_id> hosts);

    /** A host answered as the leader. */
    void on_answer(time_point now, const host_id& from);

    /** A host couldn't serve a request. named_leader is empty if that host knows no leader. */
    void on_redirect(time_point now, const host_id& from, const host_id& named_leader);

    /** An operation that was sent at sent_at was not answered in time. */
    void on_timeout(time_point now, time_point sent_at);

private:
    void advance(time_point now);

    std::vector<host_id> m_hosts;
    duration m_retry;
    std::size_t m_position;
    host_id m_target;
    host_id m_leader;
    time_point m_target_changed_at{};
    time_point m_last_answer_at{};
};

} // namespace tamarack
