#pragma once

#include "http_types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** A caller's connection, used for one request after the other until the server closes it. */
class kept_connection {
public:
    /** @param address  "ip:port" */
    explicit kept_connection(std::string address);
    ~kept_connection();
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;
    kept_connection(kept_connection&&) = delete;
    kept_connection& operator=(kept_connection&&) = delete;

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
