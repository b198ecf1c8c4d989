#include "connection_pool.h"

#include <algorithm>

namespace tamarack {

connection* connection_pool::find(connection_number number) {
    const auto found = m_connections.find(number);
    return found == m_connections.end() ? nullptr : &found->second;
}

bool connection_pool::may_dial(const replica& target, time_point now) const {
    const bool below_share = !m_limited || target.open_connections < target.connection_limit();
    return target.listed && !target.leaving && target.dial_after <= now && below_share;
}

void connection_pool::dial(const replica_pointer& target, query_actions& out) {
    const connection_number number = ++m_last;
    connection& added = m_connections[number];
    added.number = number;
    added.target = target;
    ++target->open_connections;
    ++target->dialing;
    require_invariant(target->open_connections <= target->view.connections,
                      "a host opens no more connections to a target than its share");
    out.emplace_back(open_connection{number, target->view.target, target->view.address});
}

connection* connection_pool::take_idle(replica& target) {
    if (target.idle.empty()) {
        return nullptr;
    }
    connection* taken = find(target.idle.back());
    target.idle.pop_back();
    require_invariant(taken != nullptr && taken->state == connection_state::idle,
                      "a connection listed as idle is open and idle");
    return taken;
}

connection& connection_pool::take(connection_number number) {
    connection* taken = find(number);
    require_invariant(taken != nullptr && taken->state == connection_state::idle,
                      "only an idle connection is taken");
    std::erase(taken->target->idle, number);
    return *taken;
}

void connection_pool::on_opened(connection& opened, time_point now) {
    --opened.target->dialing;
    opened.opened_at = now;
    opened.last_received_at = now;
    release(opened);
}

void connection_pool::release(connection& freed) {
    freed.state = connection_state::idle;
    clear_exchange(freed);
    freed.request_after_probe = 0;
    freed.target->idle.push_back(freed.number);
}

void connection_pool::clear_exchange(connection& freed) {
    if (freed.carried.content_unproven) {
        --freed.target->unproven_running;
    }
    freed.carried = {};
}

void connection_pool::trim(replica& target, query_actions& out) {
    const bool unwanted = !target.listed || target.leaving;
    while (!target.idle.empty() && (unwanted || target.has_surplus())) {
        close(target.idle.front(), out);
    }
}

void connection_pool::close(connection_number number, query_actions& out) {
    forget(number);
    out.emplace_back(close_connection{number});
}

void connection_pool::release_lingering(replica& target) {
    require_invariant(target.open_connections > 0,
                      "a lingering connection is counted as open until it is released");
    --target.open_connections;
}

std::vector<connection_number> connection_pool::list_stale_idle(const replica& target, time_point since) {
    std::vector<connection_number> stale;
    for (const connection_number number : target.idle) {
        if (find(number)->last_received_at < since) {
            stale.push_back(number);
        }
    }
    return stale;
}

connection connection_pool::forget(connection_number number) {
    const auto found = m_connections.find(number);
    require_invariant(found != m_connections.end(), "only a connection in the pool is removed from it");
    connection gone = std::move(found->second);
    m_connections.erase(found);
    replica& target = *gone.target;
    if (gone.carried.content_unproven) {
        --target.unproven_running;
    }
    --target.open_connections;
    if (gone.state == connection_state::dialing) {
        --target.dialing;
    }
    if (gone.state == connection_state::idle) {
        std::erase(target.idle, number);
    }
    return gone;
}

} // namespace tamarack
