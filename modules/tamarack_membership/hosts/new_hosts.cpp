#include "new_hosts.h"

#include <utility>

namespace tamarack {

void new_hosts::on_host(const host_record& record) {
    const bool runs = record.state == host_state::alive || record.state == host_state::suspect;
    if (!runs) {
        m_met.erase(record.host);
        return;
    }
    const auto [met, is_new] = m_met.try_emplace(record.host, record.incarnation);
    const bool known = !is_new && met->second == record.incarnation;
    met->second = record.incarnation;
    if (!known) {
        m_waiting.push_back(record.host);
    }
}

std::vector<host_id> new_hosts::take() {
    return std::exchange(m_waiting, {});
}

} // namespace tamarack
