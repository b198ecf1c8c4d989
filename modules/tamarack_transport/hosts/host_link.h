#pragma once

#include "../threads/worker_thread.h"
#include "send_window.h"

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
    /** Lowest rate, in bytes per second, at which shared members are transferred and handled. The response to
     * a message that has one may take so much longer. */
    std::size_t min_transfer_rate = 128 * kibibyte;
    /** Time for which a message with a shared member waits. Who still needs it has asked again by then. */
    duration shared_member_lifetime = 5s;
};

/**
 * A large member of a message, such as a configuration that is sent to every host. Messages share its text,
 * which is copied only while a message is being sent.
 */
struct shared_member {
    std::string name;
    std::shared_ptr<const std::string> text; ///< null if the message has no such member
};

/** Traffic of a link since its creation. */
struct host_link_counts {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /** Messages dropped from a full queue; and those with a shared member that waited too long, or that a
     * later one replaced. */
    std::uint64_t dropped = 0;
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
    /**
     * @param window  space for shared members, for all links of the thread; must outlive them
     */
    host_link(worker_thread& thread, endpoint address, send_window& window, host_link_options options = {});
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

    /**
     * Queues a message with a shared member. It replaces one that still waits, which is lost: the receiver
     * asks until it has what the shared member holds, and the later message answers the later request. Other
     * messages may overtake it.
     */
    void send(const std::string& method, Json::Value parameters, shared_member member);

    const endpoint& address() const;
    host_link_counts counts() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
