#include "new_hosts.h"

#include <utility>

namespace tamarack {

void new_hosts::on_host(const host_record& record) {
    const bool runs = record.state == host_state::alive || record.state == host_state::suspect;
    if (!runs) {
        m_seen.erase(record.host);
        return;
    }
    const auto [seen, is_new] = m_seen.try_emplace(record.host, record.incarnation);
    const bool already_seen = !is_new && seen->second == record.incarnation;
    seen->second = record.incarnation;
    if (!already_seen) {
        m_pending.push_back(record.host);
    }
}

std::vector<host_id> new_hosts::take() {
    return std::exchange(m_pending, {});
}

} // namespace tamarack
