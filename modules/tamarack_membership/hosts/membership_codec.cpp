#include "membership_codec.h"

#include "../encoding/json_reader.h"
#include "../encoding/update_text.h"
#include "../targets/announcement_codec.h"

#include <limits>

namespace tamarack {

namespace {

constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t max_hash = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_capacity = 1'000'000; ///< a thousand cores
constexpr std::size_t max_records = membership_message_bounds::records;
/**
 * From this number of records on, updates are packed: fewer records have too little repetition for the
 * compression to make them shorter.
 */
constexpr std::size_t min_packed = 4;
/** Maximum size of updates after unpacking: the maximum number of records, with room for long names. */
constexpr std::size_t max_unpacked_bytes = 4 * mebibyte;
const char* const packed_member = "packed_news";

template <typename Record, typename Encoder>
void encode_list(Json::Value& json, const char* name, const std::vector<Record>& records, Encoder encode) {
    if (records.empty()) {
        return;
    }
    Json::Value& list = json[name] = Json::Value{Json::arrayValue};
    for (const Record& record : records) {
        list.append(encode(record));
    }
}

template <typename Record, typename Decoder>
std::vector<Record> decode_list(json_reader& reader, const char* name, Decoder decode) {
    std::vector<Record> records;
    for (const Json::Value& item : reader.optional_list(name, max_records)) {
        outcome<Record> decoded = decode(item);
        if (!succeeded(decoded)) {
            reader.fail_with(error_of(decoded));
            break;
        }
        records.push_back(value_of(std::move(decoded)));
    }
    return records;
}

void encode_updates(Json::Value& json, const membership_updates& updates) {
    if (updates.size() >= min_packed) {
        json[packed_member] = compress_text(write_updates(updates));
        return;
    }
    encode_list(json, "hosts", updates.hosts, encode_host_record);
    encode_list(json, "targets", updates.targets, encode_target_record);
}

membership_updates decode_packed(json_reader& reader, const std::string& packed) {
    const auto text = decompress_text(packed, max_unpacked_bytes);
    if (!succeeded(text)) {
        reader.fail_with(error_of(text));
        return {};
    }
    auto updates = read_updates(value_of(text), max_records);
    if (!succeeded(updates)) {
        reader.fail_with(error_of(updates));
        return {};
    }
    return value_of(std::move(updates));
}

membership_updates decode_updates(json_reader& reader) {
    const std::string packed = reader.optional_text(packed_member, max_unpacked_bytes);
    if (!packed.empty()) {
        return decode_packed(reader, packed);
    }
    return {decode_list<host_record>(reader, "hosts", decode_host_record),
            decode_list<target_record>(reader, "targets", decode_target_record)};
}

Json::Value encode_numbers(const std::vector<std::uint32_t>& numbers) {
    Json::Value list{Json::arrayValue};
    for (const std::uint32_t number : numbers) {
        list.append(number);
    }
    return list;
}

std::vector<std::uint32_t> decode_numbers(json_reader& reader, const char* name, std::size_t max_count,
                                          std::uint32_t limit) {
    std::vector<std::uint32_t> numbers;
    for (const Json::Value& item : reader.optional_list(name, max_count)) {
        if (!item.isUInt() || item.asUInt() > limit) {
            reader.fail(name, "must contain integers up to " + std::to_string(limit));
            break;
        }
        numbers.push_back(item.asUInt());
    }
    return numbers;
}

struct message_encoder {
    Json::Value operator()(const probe_request& message) const {
        Json::Value json = head("probe_request", message.from);
        json["number"] = Json::UInt64{message.number};
        json["subject"] = message.subject.value();
        if (message.full_state) {
            json["full_state"] = true;
        }
        encode_updates(json, message.updates);
        return json;
    }

    Json::Value operator()(const probe_reply& message) const {
        Json::Value json = head("probe_reply", message.from);
        json["number"] = Json::UInt64{message.number};
        json["subject"] = message.subject.value();
        encode_updates(json, message.updates);
        return json;
    }

    Json::Value operator()(const update_push& message) const {
        Json::Value json = head("news_push", message.from);
        if (message.confirmation != 0) {
            json["confirmation"] = Json::UInt64{message.confirmation};
        }
        encode_updates(json, message.updates);
        return json;
    }

    Json::Value operator()(const push_confirmation& message) const {
        Json::Value json = head("push_confirmation", message.from);
        json["number"] = Json::UInt64{message.number};
        return json;
    }

    Json::Value operator()(const sync_request& message) const {
        Json::Value json = head("sync_request", message.from);
        json["number"] = Json::UInt64{message.number};
        json["first_group"] = Json::UInt64{message.first_group};
        json["hashes"] = encode_numbers(message.hashes);
        json["kept_hash"] = message.registered_hash;
        return json;
    }

    Json::Value operator()(const sync_reply& message) const {
        Json::Value json = head("sync_reply", message.from);
        json["number"] = Json::UInt64{message.number};
        json["next_group"] = Json::UInt64{message.next_group};
        encode_list(json, "differ", message.differ,
                    [](std::size_t group) { return Json::Value{Json::UInt64{group}}; });
        if (message.lists_registered) {
            json["lists_kept"] = true;
            encode_list(json, "kept", message.registered,
                        [](const target_id& target) { return Json::Value{target.value()}; });
        }
        encode_updates(json, message.records);
        return json;
    }

    static Json::Value head(const char* kind, const host_id& from) {
        Json::Value json{Json::objectValue};
        json["kind"] = kind;
        json["from"] = from.value();
        return json;
    }
};

membership_message decode_probe_request(json_reader& reader) {
    probe_request message;
    message.number = reader.number("number", 0, max_number);
    message.from = host_id{reader.text("from")};
    message.subject = host_id{reader.optional_text("subject")};
    message.full_state = reader.optional_flag("full_state");
    message.updates = decode_updates(reader);
    return message;
}

membership_message decode_probe_reply(json_reader& reader) {
    probe_reply message;
    message.number = reader.number("number", 0, max_number);
    message.from = host_id{reader.text("from")};
    message.subject = host_id{reader.optional_text("subject")};
    message.updates = decode_updates(reader);
    return message;
}

membership_message decode_update_push(json_reader& reader) {
    update_push message;
    message.from = host_id{reader.text("from")};
    message.updates = decode_updates(reader);
    message.confirmation = reader.optional_number("confirmation", 0, max_number);
    return message;
}

membership_message decode_push_confirmation(json_reader& reader) {
    push_confirmation message;
    message.number = reader.number("number", 0, max_number);
    message.from = host_id{reader.text("from")};
    return message;
}

membership_message decode_sync_request(json_reader& reader) {
    sync_request message;
    message.number = reader.number("number", 0, max_number);
    message.from = host_id{reader.text("from")};
    message.first_group = reader.number("first_group", 0, state_groups);
    message.hashes = decode_numbers(reader, "hashes", state_groups, max_hash);
    message.registered_hash = static_cast<std::uint32_t>(reader.number("kept_hash", 0, max_hash));
    return message;
}

std::vector<target_id> decode_registered(json_reader& reader) {
    std::vector<target_id> registered;
    for (const Json::Value& item : reader.optional_list("kept", membership_message_bounds::registered)) {
        if (!item.isString()) {
            reader.fail("kept", "must be strings");
            break;
        }
        registered.emplace_back(item.asString());
    }
    return registered;
}

membership_message decode_sync_reply(json_reader& reader) {
    sync_reply message;
    message.number = reader.number("number", 0, max_number);
    message.from = host_id{reader.text("from")};
    message.next_group = reader.number("next_group", 0, state_groups);
    const auto differ = decode_numbers(reader, "differ", state_groups, state_groups - 1);
    message.differ.assign(differ.begin(), differ.end());
    message.lists_registered = reader.optional_flag("lists_kept");
    message.registered = decode_registered(reader);
    message.records = decode_updates(reader);
    return message;
}

using message_decoder = membership_message (*)(json_reader&);

message_decoder find_decoder(const std::string& kind) {
    static const std::map<std::string, message_decoder> decoders{
        {"probe_request", decode_probe_request}, {"probe_reply", decode_probe_reply},
        {"news_push", decode_update_push},       {"sync_request", decode_sync_request},
        {"sync_reply", decode_sync_reply},       {"push_confirmation", decode_push_confirmation},
    };
    const auto found = decoders.find(kind);
    return found == decoders.end() ? nullptr : found->second;
}

} // namespace

Json::Value encode_host_record(const host_record& record) {
    Json::Value json{Json::objectValue};
    json["host"] = record.host.value();
    json["life"] = Json::UInt64{record.incarnation.value};
    json["version"] = Json::UInt64{record.version};
    json["state"] = std::string{to_name(record.state)};
    if (record.draining) {
        json["draining"] = true;
    }
    if (record.control) {
        json["control"] = true;
    }
    json["data_center"] = record.data_center.value();
    json["hosts_address"] = record.hosts_address.value();
    if (!record.callers_address.empty()) {
        json["callers_address"] = record.callers_address.value();
    }
    if (record.capacity > 0) {
        json["capacity"] = Json::UInt{record.capacity};
        json["load"] = Json::UInt{record.load};
    }
    return json;
}

outcome<host_record> decode_host_record(const Json::Value& json) {
    json_reader reader{json, "host"};
    host_record record;
    record.host = host_id{reader.text("host")};
    record.incarnation = incarnation_id{reader.number("life", 0, max_number)};
    record.version = reader.number("version", 0, max_number);
    record.state = reader.enum_value<host_state>("state", host_state::alive);
    record.draining = reader.optional_flag("draining");
    record.control = reader.optional_flag("control");
    record.data_center = data_center_id{reader.optional_text("data_center")};
    record.hosts_address = endpoint{reader.text("hosts_address")};
    record.callers_address = endpoint{reader.optional_text("callers_address")};
    record.capacity = static_cast<std::uint32_t>(reader.optional_number("capacity", 0, max_capacity));
    record.load = static_cast<std::uint32_t>(reader.optional_number("load", 0, max_capacity));
    if (!reader.good()) {
        return reader.first_error();
    }
    return record;
}

Json::Value encode_target_record(const target_record& record) {
    Json::Value json{Json::objectValue};
    announcement without_load = record.latest;
    without_load.load = {};
    json["latest"] = encode_announcement(without_load);
    if (!record.registrar.empty()) {
        json["keeper"] = record.registrar.value();
    }
    json["alive"] = record.alive;
    json["version"] = Json::UInt64{record.version};
    json["lives"] = Json::UInt64{record.incarnation_order};
    return json;
}

outcome<target_record> decode_target_record(const Json::Value& json) {
    json_reader reader{json, "target"};
    target_record record;
    outcome<announcement> latest = decode_announcement(reader.object("latest"));
    if (!succeeded(latest)) {
        return error_of(latest);
    }
    record.latest = value_of(std::move(latest));
    record.registrar = host_id{reader.optional_text("keeper")};
    record.alive = reader.optional_flag("alive");
    record.version = reader.number("version", 0, max_number);
    record.incarnation_order = reader.number("lives", 1, max_number);
    if (!reader.good()) {
        return reader.first_error();
    }
    return record;
}

Json::Value encode_membership_message(const membership_message& message) {
    return std::visit(message_encoder{}, message);
}

outcome<membership_message> decode_membership_message(const Json::Value& json) {
    json_reader reader{json, "membership message"};
    const std::string kind = reader.text("kind");
    const message_decoder decode = find_decoder(kind);
    if (decode == nullptr) {
        return error{error_code::malformed, "unknown kind of membership message: " + kind};
    }
    membership_message message = decode(reader);
    if (!reader.good()) {
        return reader.first_error();
    }
    return message;
}

} // namespace tamarack
