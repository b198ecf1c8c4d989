#pragma once

#include <tamarack_transport/tamarack_transport.h>

#include <json/value.h>

#include <map>
#include <memory>
#include <string>

namespace tamarack {

/** Links to other hosts by address, made when first used and dropped when long unused. */
class host_links {
public:
    explicit host_links(worker_thread& thread);

    /** Sends a notification; an empty address drops it. */
    void send(const endpoint& address, const std::string& method, Json::Value parameters);

    /** Drops links that were not used for some minutes. */
    void drop_unused(time_point now);

    /** @return traffic of all links, those already dropped included */
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
