#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/** Handles the parameters of one notification. */
using notification_handler = std::function<void(const Json::Value& parameters)>;

/**
 * Dispatches JSON-RPC notifications from other hosts to the handler of their method, with libjsonrpccpp.
 *
 * @see host_link for the sending side
 */
class host_dispatcher {
public:
    host_dispatcher();
    ~host_dispatcher();
    host_dispatcher(const host_dispatcher&) = delete;
    host_dispatcher& operator=(const host_dispatcher&) = delete;
    host_dispatcher(host_dispatcher&&) = delete;
    host_dispatcher& operator=(host_dispatcher&&) = delete;

    /** Registers the handler of a method. */
    void on(const std::string& method, notification_handler handler);

    /**
     * Dispatches the notification or the batch in an HTTP body.
     *
     * @return the JSON-RPC response; empty when all were notifications of registered methods
     */
    std::string dispatch(const std::string& body);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
