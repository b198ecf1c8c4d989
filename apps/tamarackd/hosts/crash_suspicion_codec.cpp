#include "crash_suspicion_codec.h"

namespace tamarack {

Json::Value encode_crash_suspicion(const broadcast_crash_suspicion& suspicion, const host_id& from,
                                   std::uint64_t number) {
    Json::Value json;
    json["from"] = from.value();
    json["number"] = Json::UInt64{number};
    json["service"] = suspicion.service.value();
    json["content"] = Json::UInt64{suspicion.content_hash};
    json["digest"] = suspicion.content_digest.hex();
    json["target"] = suspicion.target.value();
    return json;
}

outcome<received_crash_suspicion> decode_crash_suspicion(const Json::Value& json) {
    const bool texts = json["from"].isString() && json["service"].isString() && json["digest"].isString() &&
                       json["target"].isString();
    if (!texts || !json["number"].isUInt64() || !json["content"].isUInt64()) {
        return error{error_code::malformed, "crash suspicion: a member is missing or has the wrong type"};
    }
    received_crash_suspicion received;
    received.from = host_id{json["from"].asString()};
    received.number = json["number"].asUInt64();
    received.suspicion.service = service_id{json["service"].asString()};
    received.suspicion.content_hash = json["content"].asUInt64();
    received.suspicion.content_digest = digest{json["digest"].asString()};
    received.suspicion.target = target_id{json["target"].asString()};
    return received;
}

} // namespace tamarack
