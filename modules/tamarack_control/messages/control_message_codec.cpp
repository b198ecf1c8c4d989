#include "control_message_codec.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

namespace {

/** Maximum size of a decompressed configuration; the platform's and the operators' edges accept less. */
constexpr std::size_t max_configuration_bytes = 16 * mebibyte;

/** Members that hold the configuration. */
const std::string granted_configuration = "news";
const std::string known_configuration = "known";
/** Member with the epoch of the evacuation orders. */
const std::string evacuation_epoch = "evacuation_epoch";

/** Name of each message type, as written in "kind". */
template <typename Message>
constexpr std::string_view kind_of = "";
template <>
constexpr std::string_view kind_of<renew_lease> = "renew_lease";
template <>
constexpr std::string_view kind_of<lease_granted> = "lease_granted";
template <>
constexpr std::string_view kind_of<leader_redirect> = "ask_elsewhere";
template <>
constexpr std::string_view kind_of<announce_update> = "announce_news";
template <>
constexpr std::string_view kind_of<release_lease> = "release_lease";
template <>
constexpr std::string_view kind_of<request_claim> = "request_claim";
template <>
constexpr std::string_view kind_of<claim_decided> = "claim_decided";
template <>
constexpr std::string_view kind_of<report_result> = "report_result";
template <>
constexpr std::string_view kind_of<result_recorded> = "result_recorded";

/**
 * A configuration is sent as compressed text. A leader sends the same one to every host, and encoding a large
 * one is slow, so each thread caches the last text. The text depends only on the ticket's number and digest.
 */
std::shared_ptr<const std::string> configuration_text(const configuration& value) {
    struct cached_text {
        ticket_number number;
        digest content;
        std::shared_ptr<const std::string> text;
    };
    static thread_local cached_text cached;
    if (cached.text == nullptr || cached.number != value.number || cached.content != value.content) {
        cached = {
            value.number, value.content,
            std::make_shared<const std::string>(compress_text(write_json(encode_configuration(value))))};
    }
    return cached.text;
}

outcome<shared_configuration> read_shared_configuration(const Json::Value& json) {
    if (!json.isString()) {
        return error{error_code::malformed, "a configuration must be a string"};
    }
    const auto text = decompress_text(json.asString(), max_configuration_bytes);
    if (!succeeded(text)) {
        return error_of(text);
    }
    const auto json_tree = read_json(value_of(text));
    if (!succeeded(json_tree)) {
        return error_of(json_tree);
    }
    auto decoded = decode_configuration(value_of(json_tree));
    if (!succeeded(decoded)) {
        return error_of(decoded);
    }
    return std::make_shared<const configuration>(value_of(std::move(decoded)));
}

Json::Value encode_number(std::uint64_t value) {
    return Json::Value::UInt64{value};
}

/** Written only once there was an order: hosts of earlier versions refuse members that they don't know. */
void encode_evacuation_epoch(std::uint64_t epoch, Json::Value& json) {
    if (epoch > 0) {
        json[evacuation_epoch] = encode_number(epoch);
    }
}

void encode_members(const renew_lease& message, Json::Value& json) {
    json["life"] = encode_number(message.incarnation.value);
    json["reply_to"] = message.reply_to.value();
    json["data_center"] = message.data_center.value();
    json["serves_callers"] = message.serves_callers;
    json["draining"] = message.draining;
    json["number"] = encode_number(message.renewal.number);
    json["serving"] = encode_number(message.renewal.serving.value);
    json["serving_epoch"] = encode_number(message.renewal.serving_epoch);
    json["holds"] = encode_number(message.held_ticket.value);
    json["holds_epoch"] = encode_number(message.held_epoch);
    encode_evacuation_epoch(message.held_evacuations, json);
}

void encode_members(const lease_granted& message, Json::Value& json) {
    json["number"] = encode_number(message.grant.number);
    json["latest"] = encode_number(message.grant.latest.value);
    json["epoch"] = encode_number(message.grant.epoch);
    json["settled_epoch"] = encode_number(message.grant.settled_epoch);
    if (message.assigned) {
        json["assigned"] = encode_assignment(*message.assigned);
    }
    if (message.evacuations) {
        json["evacuations"] = encode_evacuation_orders(*message.evacuations);
    }
}

void encode_members(const leader_redirect& message, Json::Value& json) {
    json["operation"] = encode_number(message.operation);
    json["leader"] = message.leader.value();
}

void encode_members(const announce_update& message, Json::Value& json) {
    json["latest"] = encode_number(message.latest.value);
    json["epoch"] = encode_number(message.epoch);
    json["settled_epoch"] = encode_number(message.settled_epoch);
    encode_evacuation_epoch(message.evacuations, json);
}

void encode_members(const release_lease& message, Json::Value& json) {
    json["life"] = encode_number(message.incarnation.value);
}

void encode_members(const request_claim& message, Json::Value& json) {
    json["reply_to"] = message.reply_to.value();
    json["operation"] = encode_number(message.operation);
    json["wanted"] = encode_claim(message.wanted);
}

void encode_members(const claim_decided& message, Json::Value& json) {
    json["operation"] = encode_number(message.operation);
    json["answer"] = encode_claim_answer(message.answer);
}

void encode_members(const report_result& message, Json::Value& json) {
    json["reply_to"] = message.reply_to.value();
    json["operation"] = encode_number(message.operation);
    json["ended"] = encode_claim_result(message.ended);
}

void encode_members(const result_recorded& message, Json::Value& json) {
    json["operation"] = encode_number(message.operation);
}

/** Returns a decoded nested value, or adds the reason why it couldn't be decoded as a fault. */
template <typename Value>
Value take_nested(object_reader& reader, const std::string& name, outcome<Value> decoded) {
    if (succeeded(decoded)) {
        return value_of(std::move(decoded));
    }
    reader.add_fault(name, error_of(decoded).message);
    return {};
}

void read_members(object_reader& reader, renew_lease& message) {
    message.incarnation.value = reader.number("life");
    message.reply_to = endpoint{reader.text("reply_to")};
    message.data_center = data_center_id{reader.text("data_center")};
    message.serves_callers = reader.flag("serves_callers", true);
    message.draining = reader.flag("draining", false);
    message.renewal.number = reader.number("number");
    message.renewal.serving.value = reader.number("serving");
    message.renewal.serving_epoch = reader.number("serving_epoch");
    message.held_ticket.value = reader.number("holds");
    message.held_epoch = reader.number("holds_epoch");
    message.held_evacuations = reader.number(evacuation_epoch, presence::optional);
}

void read_members(object_reader& reader, lease_granted& message) {
    message.grant.number = reader.number("number");
    message.grant.latest.value = reader.number("latest");
    message.grant.epoch = reader.number("epoch");
    message.grant.settled_epoch = reader.number("settled_epoch");
    if (const Json::Value& newer = reader.any(granted_configuration, presence::optional); !newer.isNull()) {
        message.newer_configuration =
            take_nested(reader, granted_configuration, read_shared_configuration(newer));
    }
    if (const Json::Value& assigned = reader.any("assigned", presence::optional); !assigned.isNull()) {
        message.assigned = take_nested(reader, "assigned", decode_assignment(assigned));
    }
    if (const Json::Value& orders = reader.any("evacuations", presence::optional); !orders.isNull()) {
        message.evacuations = take_nested(reader, "evacuations", decode_evacuation_orders(orders));
    }
}

void read_members(object_reader& reader, leader_redirect& message) {
    message.operation = reader.number("operation");
    message.leader = host_id{reader.text("leader")};
    if (const Json::Value& known = reader.any(known_configuration, presence::optional); !known.isNull()) {
        message.known = take_nested(reader, known_configuration, read_shared_configuration(known));
    }
}

void read_members(object_reader& reader, announce_update& message) {
    message.latest.value = reader.number("latest");
    message.epoch = reader.number("epoch");
    message.settled_epoch = reader.number("settled_epoch");
    message.evacuations = reader.number(evacuation_epoch, presence::optional);
}

void read_members(object_reader& reader, release_lease& message) {
    message.incarnation.value = reader.number("life");
}

void read_members(object_reader& reader, request_claim& message) {
    message.reply_to = endpoint{reader.text("reply_to")};
    message.operation = reader.number("operation");
    message.wanted = take_nested(reader, "wanted", decode_claim(reader.any("wanted")));
}

void read_members(object_reader& reader, claim_decided& message) {
    message.operation = reader.number("operation");
    message.answer = take_nested(reader, "answer", decode_claim_answer(reader.any("answer")));
}

void read_members(object_reader& reader, report_result& message) {
    message.reply_to = endpoint{reader.text("reply_to")};
    message.operation = reader.number("operation");
    message.ended = take_nested(reader, "ended", decode_claim_result(reader.any("ended")));
}

void read_members(object_reader& reader, result_recorded& message) {
    message.operation = reader.number("operation");
}

template <typename Message>
bool read_kind(const std::string& kind, object_reader& reader, control_message& result) {
    if (kind != kind_of<Message>) {
        return false;
    }
    Message message;
    message.from = host_id{reader.text("from")};
    read_members(reader, message);
    result = std::move(message);
    return true;
}

/** Tries each alternative of the variant in turn. */
template <typename... Messages>
bool read_any(const std::string& kind, object_reader& reader, std::variant<Messages...>& result) {
    return (read_kind<Messages>(kind, reader, result) || ...);
}

} // namespace

control_message_parts encode_control_message_parts(const control_message& message) {
    control_message_parts parts;
    std::visit(
        [&parts]<typename Message>(const Message& content) {
            parts.members = Json::Value{Json::objectValue};
            parts.members["kind"] = std::string{kind_of<Message>};
            parts.members["from"] = content.from.value();
            encode_members(content, parts.members);
        },
        message);
    if (const shared_configuration held = configuration_of(message)) {
        parts.configuration_member =
            std::holds_alternative<lease_granted>(message) ? granted_configuration : known_configuration;
        parts.configuration = configuration_text(*held);
    }
    return parts;
}

Json::Value encode_control_message(const control_message& message) {
    control_message_parts parts = encode_control_message_parts(message);
    if (parts.configuration != nullptr) {
        parts.members[parts.configuration_member] = *parts.configuration;
    }
    return std::move(parts.members);
}

outcome<control_message> decode_control_message(const Json::Value& json) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    const std::string kind = reader.text("kind");
    control_message message;
    if (!read_any(kind, reader, message)) {
        reader.add_fault("kind", "is not a known kind of message");
    }
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return message;
}

} // namespace tamarack
