#pragma once

#include "../threads/worker_thread.h"

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace tamarack {

/** Time-outs and limits of a link. */
struct host_link_options {
    duration connect_timeout = 500ms;
    duration response_timeout = 500ms; ///< a connection without a response for this time is replaced
    duration reconnect_delay = 100ms;
    std::size_t max_queued_messages = 1'024; ///< when exceeded, the oldest message is dropped
};

/** Traffic of a link since its creation. */
struct host_link_counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t dropped = 0;  ///< messages dropped from a full queue
    std::uint64_t failures = 0; ///< connections that failed, or were replaced for lack of a response
};

/**
 * Sends one-way messages to one other host, as JSON-RPC notifications over one persistent HTTP connection.
 *
 * Messages queued while a batch is in flight are sent together as the next batch. Messages may be lost, and
 * only the counts show it: the protocols that use a link send again what must arrive.
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
     * Queues a message for sending.
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
