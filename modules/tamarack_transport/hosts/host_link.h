#pragma once

#include "../threads/worker_thread.h"

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace tamarack {

/** Bounds of a link. */
struct host_link_options {
    duration connect_timeout = 500ms;
    duration response_timeout = 500ms; ///< then the connection is taken for dead and replaced
    duration reconnect_delay = 100ms;
    std::size_t max_queued_messages = 1'024; ///< the oldest is dropped beyond
};

/** Traffic of a link since its start. */
struct host_link_counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t dropped = 0;
    std::uint64_t failures = 0;
};

/**
 * One-way messages to one other host: JSON-RPC notifications over one kept HTTP connection.
 *
 * Messages that wait while one batch is on its way go together as the next batch. Loss is allowed and
 * reported only in the counts: protocols above repeat what matters.
 */
class host_link {
public:
    host_link(worker_thread& thread, endpoint address, host_link_options options = {});
    ~host_link();
    host_link(const host_link&) = delete;
    host_link& operator=(const host_link&) = delete;
    host_link(host_link&&) = delete;
    host_link& operator=(host_link&&) = delete;

    /**
     * Sends a message.
     *
     * @param method      name of the notification
     * @param parameters  a JSON object
     */
    void send(const std::string& method, Json::Value parameters);

    const endpoint& address() const;
    host_link_counts counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
