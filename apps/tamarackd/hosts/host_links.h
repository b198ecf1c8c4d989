#pragma once

#include <tamarack_transport/tamarack_transport.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace tamarack {

/**
 * Links to other hosts by address. Created on first use and removed after long disuse.
 *
 * Messages with a shared member have a link of their own to each host, so that no heartbeat waits for them.
 */
class host_links {
public:
    explicit host_links(worker_thread& thread);
    ~host_links();
    host_links(const host_links&) = delete;
    host_links& operator=(const host_links&) = delete;
    host_links(host_links&&) = delete;
    host_links& operator=(host_links&&) = delete;

    /** Sends a notification. Does nothing if the address is empty. */
    void send(const endpoint& address, const std::string& method, Json::Value parameters,
              shared_member member = {});

    /** Removes links that have not been used for five minutes. */
    void drop_unused(time_point now);

    /** @return traffic of all links, including removed ones */
    host_link_counts counts() const;

    /** @return bytes of shared members that are being sent now */
    std::size_t shared_bytes() const { return m_window.taken_bytes(); }

private:
    struct link_key {
        endpoint address;
        bool for_shared_members = false;

        bool operator<(const link_key& other) const {
            return std::tie(address, for_shared_members) < std::tie(other.address, other.for_shared_members);
        }
    };

    struct used_link {
        std::unique_ptr<host_link> link;
        time_point used_at;
    };

    worker_thread& m_thread;
    send_window m_window;
    std::map<link_key, used_link> m_links;
    host_link_counts m_dropped;
};

} // namespace tamarack
