#pragma once

#include <json/value.h>

#include <memory>
#include <string>

namespace tamarack {

/** Builds JSON-RPC batches of notifications with libjsonrpccpp. This header must stay valid C++14. */
class notification_batch {
public:
    notification_batch();
    ~notification_batch();
    notification_batch(const notification_batch&) = delete;
    notification_batch& operator=(const notification_batch&) = delete;
    notification_batch(notification_batch&&) = delete;
    notification_batch& operator=(notification_batch&&) = delete;

    /** Adds a notification. */
    void add(const std::string& method, const Json::Value& parameters);

    /** @return the batch as text for an HTTP body */
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
