#pragma once

#include <tamarack_transport/tamarack_transport.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>

namespace tamarack {

/** Links to other hosts by address. Created on first use and removed after long disuse. */
class host_links {
public:
    explicit host_links(worker_thread& thread);

    /** Sends a notification. Does nothing if the address is empty. */
    void send(const endpoint& address, const std::string& method, Json::Value parameters);

    /** Removes links that have not been used for five minutes. */
    void drop_unused(time_point now);

    /** @return traffic of all links, including removed ones */
    host_link_counts counts() const;

private:
    struct used_link {
        std::unique_ptr<host_link> link;
        time_point used_at;
    };

    worker_thread& m_thread;
    std::map<endpoint, used_link> m_links;
    host_link_counts m_dropped;
};

} // namespace tamarack
