#include "claim_codec.h"

#include <tamarack_tickets/tamarack_tickets.h>

#include <string>

namespace tamarack {

namespace {

/** Decodes one JSON object; unknown members are rejected. */
template <typename Value, typename Read>
outcome<Value> decode_object(const Json::Value& json, Read read) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    Value value = read(reader);
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

constexpr std::size_t max_name_bytes = 256;

/** Reads a non-empty name of at most max_name_bytes. */
std::string read_name(object_reader& reader, const std::string& member) {
    std::string name = reader.text(member);
    if (name.empty() || name.size() > max_name_bytes) {
        reader.add_fault(member, "must have 1 to " + std::to_string(max_name_bytes) + " bytes");
    }
    return name;
}

claim read_claim(object_reader& reader) {
    claim value;
    value.service = service_id{read_name(reader, "service")};
    value.key = idempotency_key{read_name(reader, "key")};
    value.content = digest{reader.text("content")};
    value.issued_at = wall_time{reader.number("issued_at", presence::required, 0, INT64_MAX)};
    value.host = host_id{read_name(reader, "host")};
    value.incarnation = incarnation_id{reader.number("life")};
    value.attempt = reader.number("attempt");
    return value;
}

claim_result read_claim_result(object_reader& reader) {
    claim_result value;
    value.service = service_id{read_name(reader, "service")};
    value.key = idempotency_key{read_name(reader, "key")};
    value.attempt = reader.number("attempt");
    value.result = reader.choice("result", value.result, presence::required);
    value.reply = reader.text("reply", presence::optional);
    value.reply_is_digest = reader.flag("reply_is_digest", false);
    return value;
}

claim_answer read_claim_answer(object_reader& reader) {
    claim_answer value;
    value.verdict = reader.choice("verdict", value.verdict, presence::required);
    value.result = reader.choice("result", value.result, presence::required);
    value.reply = reader.text("reply", presence::optional);
    value.reply_is_digest = reader.flag("reply_is_digest", false);
    value.accepted_content = digest{reader.text("accepted_content", presence::optional)};
    return value;
}

void encode_reply(const std::string& reply, bool is_digest, Json::Value& json) {
    if (!reply.empty()) {
        json["reply"] = reply;
    }
    if (is_digest) {
        json["reply_is_digest"] = true;
    }
}

} // namespace

Json::Value encode_claim(const claim& value) {
    Json::Value json{Json::objectValue};
    json["service"] = value.service.value();
    json["key"] = value.key.value();
    json["content"] = value.content.hex();
    json["issued_at"] = Json::Value::Int64{value.issued_at.count()};
    json["host"] = value.host.value();
    json["life"] = Json::Value::UInt64{value.incarnation.value};
    json["attempt"] = Json::Value::UInt64{value.attempt};
    return json;
}

outcome<claim> decode_claim(const Json::Value& json) {
    return decode_object<claim>(json, read_claim);
}

Json::Value encode_claim_result(const claim_result& value) {
    Json::Value json{Json::objectValue};
    json["service"] = value.service.value();
    json["key"] = value.key.value();
    json["attempt"] = Json::Value::UInt64{value.attempt};
    json["result"] = std::string{to_name(value.result)};
    encode_reply(value.reply, value.reply_is_digest, json);
    return json;
}

outcome<claim_result> decode_claim_result(const Json::Value& json) {
    return decode_object<claim_result>(json, read_claim_result);
}

Json::Value encode_claim_answer(const claim_answer& value) {
    Json::Value json{Json::objectValue};
    json["verdict"] = std::string{to_name(value.verdict)};
    json["result"] = std::string{to_name(value.result)};
    encode_reply(value.reply, value.reply_is_digest, json);
    if (!value.accepted_content.empty()) {
        json["accepted_content"] = value.accepted_content.hex();
    }
    return json;
}

outcome<claim_answer> decode_claim_answer(const Json::Value& json) {
    return decode_object<claim_answer>(json, read_claim_answer);
}

} // namespace tamarack
