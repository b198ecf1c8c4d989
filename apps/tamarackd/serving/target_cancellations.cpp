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

void target_cancellations::allow(std::shared_ptr<const std::set<target_id>> targets) {
    m_allowed = std::move(targets);
    std::erase_if(m_sides, [this](const auto& side) { return !m_allowed->contains(side.first); });
}

void target_cancellations::cancel(const cancel_exchange& wanted) {
    if (m_allowed == nullptr || !m_allowed->contains(wanted.target)) {
        return;
    }
    side_connection& side = m_sides[wanted.target];
    if (side.waiting.size() >= waiting_limit) {
        side.waiting.pop_front();
    }
    side.waiting.push_back(wanted.number);
    if (side.connection == nullptr) {
        connect(wanted.target, wanted.address);
    } else {
        send_next(wanted.target);
    }
}

void target_cancellations::connect(const target_id& target, const endpoint& address) {
    http_connection_events events;
    events.opened = [this, target] {
        m_sides[target].open = true;
        send_next(target);
    };
    events.lost = [this, target] { m_sides.erase(target); };
    m_sides[target].connection = std::make_unique<http_connection>(m_thread, address, connect_timeout,
                                                                   reply_body_limit, std::move(events));
}

void target_cancellations::send_next(const target_id& target) {
    side_connection& side = m_sides[target];
    if (!side.open || side.sending || side.waiting.empty()) {
        return;
    }
    const exchange_number number = side.waiting.front();
    side.waiting.pop_front();
    side.sending = true;
    side.connection->send(to_cancel_request(number, m_incarnation),
                          [this, target](const http_response& /*response*/) {
                              m_sides[target].sending = false;
                              send_next(target);
                          });
}

} // namespace tamarack
