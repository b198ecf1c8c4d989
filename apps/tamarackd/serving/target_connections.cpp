#include "target_connections.h"

#include "exchange_codec.h"

#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t reply_body_limit = 16 * mebibyte;

} // namespace

target_connections::target_connections(worker_thread& thread, incarnation_id incarnation,
                                       target_connection_events events)
    : m_thread(thread), m_incarnation(incarnation), m_events(std::move(events)) {}

void target_connections::open(const open_connection& action, duration connect_timeout) {
    const connection_number number = action.connection;
    http_connection_events events;
    events.opened = [this, number] { m_events.opened(number); };
    events.lost = [this, number](connection_end) { drop_connection(number); };
    m_connections[number] = std::make_unique<http_connection>(m_thread, action.address, connect_timeout,
                                                              reply_body_limit, std::move(events));
}

void target_connections::close(connection_number connection) {
    m_probes.erase(connection);
    m_connections.erase(connection);
}

void target_connections::send(const send_exchange& action) {
    http_connection* const connection = find(action.connection);
    require_invariant(connection != nullptr, "exchanges are sent only on open connections");
    connection->send(to_run_request(action.request, m_incarnation, steady_now()),
                     [this, number = action.connection](http_response response) {
                         m_events.replied(number, read_run_response(std::move(response), m_incarnation));
                     });
}

void target_connections::probe(const probe_connection& action) {
    http_connection* const connection = find(action.connection);
    require_invariant(connection != nullptr, "only open connections are probed");
    const connection_number number = action.connection;
    const time_point limit = steady_now() + action.limit;
    m_probes[number] = limit;
    connection->send(to_liveness_request(), [this, number](const http_response& response) {
        if (response.ends_connection) {
            drop_connection(number);
            return;
        }
        m_probes.erase(number);
        m_events.live(number);
    });
    m_thread.run_at(limit, [this, number, limit] {
        const auto running = m_probes.find(number);
        if (running != m_probes.end() && running->second == limit) {
            drop_connection(number);
        }
    });
}

void target_connections::drop_connection(connection_number connection) {
    close(connection);
    m_events.lost(connection);
}

http_connection* target_connections::find(connection_number connection) {
    const auto found = m_connections.find(connection);
    return found == m_connections.end() ? nullptr : found->second.get();
}

} // namespace tamarack
