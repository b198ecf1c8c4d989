#include "target_cancellations.h"

#include "exchange_codec.h"

#include <utility>

namespace tamarack {

namespace {

constexpr duration connect_timeout = 1s;
constexpr std::size_t reply_body_limit = 64 * kibibyte;
constexpr std::size_t waiting_limit = 64;

} // namespace

target_cancellations::target_cancellations(worker_thread& thread, incarnation_id incarnation)
    : m_thread(thread), m_incarnation(incarnation) {}

void target_cancellations::set_allowed_targets(std::shared_ptr<const std::set<target_id>> targets) {
    m_allowed = std::move(targets);
    std::erase_if(m_connections,
                  [this](const auto& connection) { return !m_allowed->contains(connection.first); });
}

void target_cancellations::cancel(const cancel_exchange& action) {
    if (m_allowed == nullptr || !m_allowed->contains(action.target)) {
        return;
    }
    cancellation_connection& connection = m_connections[action.target];
    if (connection.waiting.size() >= waiting_limit) {
        connection.waiting.pop_front();
    }
    connection.waiting.push_back(action.number);
    if (connection.connection == nullptr) {
        connect(action.target, action.address);
    } else {
        send_next(action.target);
    }
}

void target_cancellations::connect(const target_id& target, const endpoint& address) {
    http_connection_events events;
    events.opened = [this, target] {
        m_connections[target].open = true;
        send_next(target);
    };
    events.lost = [this, target](connection_end) { m_connections.erase(target); };
    m_connections[target].connection = std::make_unique<http_connection>(m_thread, address, connect_timeout,
                                                                         reply_body_limit, std::move(events));
}

void target_cancellations::send_next(const target_id& target) {
    cancellation_connection& connection = m_connections[target];
    if (!connection.open || connection.sending || connection.waiting.empty()) {
        return;
    }
    const exchange_number number = connection.waiting.front();
    connection.waiting.pop_front();
    connection.sending = true;
    connection.connection->send(to_cancel_request(number, m_incarnation),
                                [this, target](const http_response& response) {
                                    if (response.ends_connection) {
                                        return;
                                    }
                                    m_connections[target].sending = false;
                                    send_next(target);
                                });
}

} // namespace tamarack
