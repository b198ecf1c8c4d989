#pragma once

#include <tamarack_edge/tamarack_edge.h>
#include <tamarack_forwarding/tamarack_forwarding.h>
#include <tamarack_transport/tamarack_transport.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace tamarack {

/** A breach of the protocol by a target, as seen on one connection; for the log. */
struct exchange_anomaly {
    target_connection connection = 0;
    target_id target;
    request_id request;          ///< of the connection's latest exchange; empty if there was none
    std::uint64_t exchanges = 0; ///< sent on the connection so far
    bool awaits_reply = false;   ///< whether the latest exchange had no reply yet
    std::string cause;
    request_id named_request; ///< the request that a rejected reply names
    unsigned status = 0;      ///< of a rejected reply
};

/** Events of connections to targets. */
struct exchange_connection_events {
    std::function<void(target_connection)> opened;
    std::function<void(target_connection, connection_end)> lost;
    std::function<void(target_connection, target_reply)> replied;
    std::function<void(const exchange_anomaly&)> anomaly;
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
    struct open_connection {
        std::unique_ptr<http_connection> socket;
        target_id target;
        request_id request; ///< of the latest exchange
        std::uint64_t exchanges = 0;
        bool awaits_reply = false;
    };

    void on_lost(target_connection number, connection_end end);
    void on_response(target_connection number, http_response response);
    static exchange_anomaly describe(target_connection number, const open_connection& connection);

    worker_thread& m_thread;
    const edge_protocol& m_edge;
    std::size_t m_reply_bytes;
    exchange_connection_events m_events;
    std::unordered_map<target_connection, open_connection> m_connections;
};

} // namespace tamarack
