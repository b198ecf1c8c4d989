#include "host_links.h"

#include <utility>

namespace tamarack {

namespace {

constexpr duration unused_limit = 5min;

void add(host_link_counts& sum, const host_link_counts& part) {
    sum.messages += part.messages;
    sum.bytes += part.bytes;
    sum.dropped += part.dropped;
    sum.failures += part.failures;
}

} // namespace

host_links::host_links(worker_thread& thread) : m_thread(thread) {}

void host_links::send(const endpoint& address, const std::string& method, Json::Value parameters) {
    if (address.empty()) {
        return;
    }
    used_link& entry = m_links[address];
    if (entry.link == nullptr) {
        entry.link = std::make_unique<host_link>(m_thread, address);
    }
    entry.used_at = steady_now();
    entry.link->send(method, std::move(parameters));
}

void host_links::drop_unused(time_point now) {
    for (auto link = m_links.begin(); link != m_links.end();) {
        if (now - link->second.used_at < unused_limit) {
            ++link;
            continue;
        }
        add(m_dropped, link->second.link->counts());
        link = m_links.erase(link);
    }
}

host_link_counts host_links::counts() const {
    host_link_counts sum = m_dropped;
    for (const auto& [address, entry] : m_links) {
        add(sum, entry.link->counts());
    }
    return sum;
}

} // namespace tamarack
