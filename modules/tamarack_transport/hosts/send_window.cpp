#include "send_window.h"

#include <tamarack_base/tamarack_base.h>

#include <utility>

namespace tamarack {

bool send_window::try_take(std::size_t bytes, std::function<void()> ready) {
    if (m_taken_bytes > 0 && m_taken_bytes + bytes > m_max_bytes) {
        m_waiting.push_back(std::move(ready));
        return false;
    }
    m_taken_bytes += bytes;
    return true;
}

void send_window::release(std::size_t bytes) {
    require_invariant(bytes <= m_taken_bytes, "only space that was taken is released");
    m_taken_bytes -= bytes;
    for (std::size_t left = m_waiting.size(); left > 0 && m_taken_bytes < m_max_bytes && !m_waiting.empty();
         --left) {
        const auto ready = std::move(m_waiting.front());
        m_waiting.pop_front();
        ready();
    }
}

} // namespace tamarack
