#pragma once

#include "http_types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** A caller's connection, used for one request after the other until the server closes it. */
class persistent_connection {
public:
    /** @param address  "ip:port" */
    explicit persistent_connection(std::string address);
    ~persistent_connection();
    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;
    persistent_connection(persistent_connection&&) = delete;
    persistent_connection& operator=(persistent_connection&&) = delete;

    /**
     * Sends a request, on a new connection when none is open.
     *
     * @return the response; nothing when the connection can't be opened, breaks or the limit passes
     */
    std::optional<plain_response> call(const plain_request& request, std::chrono::milliseconds limit);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack::testing_support
