#include "host_links.h"

#include <utility>

namespace tamarack {

namespace {

constexpr duration unused_limit = 5min;
/** Space for the shared members that are being sent. It is a small part of a host's memory, and holds a
 * configuration of some thousand routes for several tens of hosts. */
constexpr std::size_t max_shared_bytes = 8 * mebibyte;

void add(host_link_counts& sum, const host_link_counts& part) {
    sum.messages += part.messages;
    sum.bytes += part.bytes;
    sum.dropped += part.dropped;
    sum.failures += part.failures;
}

} // namespace

host_links::host_links(worker_thread& thread) : m_thread(thread), m_window(max_shared_bytes) {}

host_links::~host_links() {
    m_window.forget_waiting();
}

void host_links::send(const endpoint& address, const std::string& method, Json::Value parameters,
                      shared_member member) {
    if (address.empty()) {
        return;
    }
    used_link& entry = m_links[{address, member.text != nullptr}];
    if (entry.link == nullptr) {
        entry.link = std::make_unique<host_link>(m_thread, address, m_window);
    }
    entry.used_at = steady_now();
    entry.link->send(method, std::move(parameters), std::move(member));
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
    for (const auto& [key, entry] : m_links) {
        add(sum, entry.link->counts());
    }
    return sum;
}

} // namespace tamarack
