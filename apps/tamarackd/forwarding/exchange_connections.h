#pragma once

#include <tamarack_edge/tamarack_edge.h>
#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace tamarack {

/** Events of connections to targets. */
struct exchange_connection_events {
    std::function<void(target_connection)> opened;
    std::function<void(target_connection)> lost;
    std::function<void(target_connection, target_reply)> replied;
};

/**
 * The sockets behind the forwarding engine's connections. Executes the engine's actions and makes no
 * decisions of its own.
 */
class exchange_connections {
public:
    /** @param reply_bytes  maximum size of a reply; a longer reply closes its connection */
    exchange_connections(worker_thread& thread, const edge_protocol& edge, std::size_t reply_bytes,
                         exchange_connection_events events);

    void open(const open_target_connection& action);
    void close(target_connection connection);
    void send(const send_target_exchange& action);

private:
    worker_thread& m_thread;
    const edge_protocol& m_edge;
    std::size_t m_reply_bytes;
    exchange_connection_events m_events;
    std::unordered_map<target_connection, std::unique_ptr<http_connection>> m_connections;
};

} // namespace tamarack
