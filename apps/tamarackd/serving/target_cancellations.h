#pragma once

#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace tamarack {

/**
 * Tells targets which exchanges are no longer wanted, over one further connection to each.
 *
 * That connection is part of this host's share of the target's connections: only targets that allow it are
 * told. The others learn it when the connection of the exchange is closed.
 *
 * @see build_serving_view, which takes the connection out of the engine's share
 */
class target_cancellations {
public:
    /** @param incarnation  this process's incarnation, part of each exchange's identifier */
    target_cancellations(worker_thread& thread, incarnation_id incarnation);

    /** Sets which targets allow a further connection; connections to others are closed. */
    void set_allowed_targets(std::shared_ptr<const std::set<target_id>> targets);

    /** Tells a target, if it allows a further connection. */
    void cancel(const cancel_exchange& wanted);

private:
    struct cancellation_connection {
        std::unique_ptr<http_connection> connection;
        std::deque<exchange_number> waiting;
        bool open = false;
        bool sending = false;
    };

    void connect(const target_id& target, const endpoint& address);
    void send_next(const target_id& target);

    worker_thread& m_thread;
    incarnation_id m_incarnation;
    std::shared_ptr<const std::set<target_id>> m_allowed;
    std::map<target_id, cancellation_connection> m_connections;
};

} // namespace tamarack
