#include "exchange_connections.h"

#include <utility>

namespace tamarack {

exchange_connections::exchange_connections(worker_thread& thread, const edge_protocol& edge,
                                           std::size_t reply_bytes, exchange_connection_events events)
    : m_thread(thread), m_edge(edge), m_reply_bytes(reply_bytes), m_events(std::move(events)) {}

void exchange_connections::open(const open_target_connection& action) {
    const target_connection number = action.connection;
    http_connection_events events;
    events.opened = [this, number] { m_events.opened(number); };
    events.lost = [this, number] {
        m_connections.erase(number);
        m_events.lost(number);
    };
    m_connections[number] = std::make_unique<http_connection>(m_thread, action.address, action.limit,
                                                              m_reply_bytes, std::move(events));
}

void exchange_connections::close(target_connection connection) {
    m_connections.erase(connection);
}

void exchange_connections::send(const send_target_exchange& action) {
    const auto found = m_connections.find(action.connection);
    require_invariant(found != m_connections.end(), "exchanges are sent only on open connections");
    found->second->send(m_edge.write_exchange(action.exchange),
                        [this, number = action.connection, id = action.exchange.id](http_response response) {
                            m_events.replied(number, m_edge.read_reply(id, std::move(response)));
                        });
}

} // namespace tamarack
