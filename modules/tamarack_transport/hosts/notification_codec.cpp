#include "notification_codec.h"

#include <jsonrpccpp/client/batchcall.h>

namespace tamarack {

struct notification_batch::implementation {
    jsonrpc::BatchCall calls;
};

notification_batch::notification_batch() : m_implementation(new implementation) {}

notification_batch::~notification_batch() = default;

void notification_batch::add(const std::string& method, const Json::Value& parameters) {
    m_implementation->calls.addCall(method, parameters, true);
}

std::string notification_batch::text() const {
    return m_implementation->calls.toString();
}

} // namespace tamarack
