#pragma once

#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace tamarack {

/**
 * Cancels exchanges at targets, over one additional connection to each target.
 *
 * The connection is part of this host's share of the target's connections, so cancellations are sent only to
 * targets whose share allows it. Other targets notice a cancellation only because the connection of the
 * exchange is closed.
 *
 * @see build_serving_view, which subtracts the connection from the engine's share
 */
class target_cancellations {
public:
    /** @param incarnation  this process's incarnation, part of each exchange's identifier */
    target_cancellations(worker_thread& thread, incarnation_id incarnation);

    /** Sets the targets that allow an additional connection. Closes connections to all others. */
    void set_allowed_targets(std::shared_ptr<const std::set<target_id>> targets);

    /** Cancels an exchange if its target allows an additional connection. */
    void cancel(const cancel_exchange& action);

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
