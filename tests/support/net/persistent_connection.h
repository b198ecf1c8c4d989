#pragma once

#include "http_types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace tamarack::testing_support {

/** A caller's connection that is reused for successive requests until the server closes it. */
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
     * Sends a request; opens a connection first if none is open.
     *
     * @return the response, or std::nullopt if connecting fails, the connection breaks or the call times out
     */
    std::optional<plain_response> call(const plain_request& request, std::chrono::milliseconds limit);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack::testing_support
