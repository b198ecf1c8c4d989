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
    events.lost = [this, number](connection_end end) { on_lost(number, end); };
    open_connection& connection = m_connections[number];
    connection.target = action.target;
    connection.socket = std::make_unique<http_connection>(m_thread, action.address, action.limit,
                                                          m_reply_bytes, std::move(events));
}

void exchange_connections::close(target_connection connection) {
    m_connections.erase(connection);
}

void exchange_connections::send(const send_target_exchange& action) {
    const auto found = m_connections.find(action.connection);
    require_invariant(found != m_connections.end(), "exchanges are sent only on open connections");
    open_connection& connection = found->second;
    connection.request = action.exchange.id;
    connection.awaits_reply = true;
    ++connection.exchanges;
    connection.socket->send(m_edge.write_exchange(action.exchange),
                            [this, number = action.connection](http_response response) {
                                on_response(number, std::move(response));
                            });
}

void exchange_connections::on_response(target_connection number, http_response response) {
    open_connection& connection = m_connections.at(number);
    connection.awaits_reply = false;
    if (response.followed_by_bytes) {
        exchange_anomaly followed = describe(number, connection);
        followed.cause = to_name(connection_end::unexpected_bytes);
        m_events.anomaly(followed);
    }
    target_reply reply = m_edge.read_reply(connection.request, std::move(response));
    if (reply.verdict == target_verdict::malformed) {
        exchange_anomaly rejected = describe(number, connection);
        rejected.cause = to_name(reply.defect);
        rejected.named_request = reply.named_request;
        rejected.status = reply.status;
        m_events.anomaly(rejected);
    }
    m_events.replied(number, std::move(reply));
}

void exchange_connections::on_lost(target_connection number, connection_end end) {
    if (end == connection_end::malformed_response || end == connection_end::unexpected_bytes) {
        exchange_anomaly ended = describe(number, m_connections.at(number));
        ended.cause = to_name(end);
        m_events.anomaly(ended);
    }
    m_connections.erase(number);
    m_events.lost(number, end);
}

exchange_anomaly exchange_connections::describe(target_connection number, const open_connection& connection) {
    exchange_anomaly anomaly;
    anomaly.connection = number;
    anomaly.target = connection.target;
    anomaly.request = connection.request;
    anomaly.exchanges = connection.exchanges;
    anomaly.awaits_reply = connection.awaits_reply;
    return anomaly;
}

} // namespace tamarack
