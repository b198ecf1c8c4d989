#pragma once

#include <tamarack_query/tamarack_query.h>
#include <tamarack_transport/tamarack_transport.h>

#include <functional>
#include <map>
#include <memory>

namespace tamarack {

/** Events of connections to targets. */
struct target_connection_events {
    std::function<void(connection_number)> opened;
    std::function<void(connection_number)> live;
    std::function<void(connection_number)> lost;
    std::function<void(connection_number, exchange_reply)> replied;
};

/**
 * The sockets behind the query engine's connections. Executes the engine's actions and makes no decisions of
 * its own.
 */
class target_connections {
public:
    target_connections(worker_thread& thread, incarnation_id incarnation, target_connection_events events);

    void open(const open_connection& action, duration connect_timeout);
    void close(connection_number connection);
    void send(const send_exchange& action);
    void probe(const probe_connection& action);

private:
    void drop_connection(connection_number connection);
    http_connection* find(connection_number connection);

    worker_thread& m_thread;
    incarnation_id m_incarnation;
    target_connection_events m_events;
    std::map<connection_number, std::unique_ptr<http_connection>> m_connections;
    std::map<connection_number, time_point> m_probes;
};

} // namespace tamarack
