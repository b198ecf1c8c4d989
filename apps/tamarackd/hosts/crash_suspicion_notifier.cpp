#include "crash_suspicion_notifier.h"

#include "crash_suspicion_codec.h"

#include <set>
#include <utility>

namespace tamarack {

crash_suspicion_notifier::crash_suspicion_notifier(host_id self, sender send)
    : m_self(std::move(self)), m_send(std::move(send)) {}

void crash_suspicion_notifier::broadcast(time_point now, const broadcast_crash_suspicion& found,
                                         const std::map<host_id, endpoint>& hosts,
                                         std::function<void()> on_confirmed) {
    std::set<host_id> names;
    for (const auto& [host, address] : hosts) {
        names.insert(host);
    }
    const std::uint64_t number = m_confirmations.begin(now, std::move(names), std::move(on_confirmed));
    const Json::Value parameters = encode_crash_suspicion(found, m_self, number);
    for (const auto& [host, address] : hosts) {
        m_send(address, suspicion_method, parameters);
    }
}

void crash_suspicion_notifier::on_notification(
    const Json::Value& parameters, const std::function<endpoint(const host_id&)>& address_of,
    const std::function<bool(const broadcast_crash_suspicion&)>& accept) {
    const auto received = decode_crash_suspicion(parameters);
    if (!succeeded(received) || !accept(value_of(received).suspicion)) {
        return;
    }
    Json::Value confirmation;
    confirmation["number"] = Json::UInt64{value_of(received).number};
    confirmation["from"] = m_self.value();
    m_send(address_of(value_of(received).from), suspicion_confirmation_method, std::move(confirmation));
}

void crash_suspicion_notifier::on_confirmation(const Json::Value& parameters) {
    if (parameters["number"].isUInt64() && parameters["from"].isString()) {
        m_confirmations.on_confirmation(parameters["number"].asUInt64(),
                                        host_id{parameters["from"].asString()});
    }
}

} // namespace tamarack
