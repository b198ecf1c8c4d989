#include "json_fields.h"

#include <json/reader.h>
#include <json/writer.h>
#include <openssl/evp.h>

#include <algorithm>
#include <memory>

namespace tamarack {

namespace {

constexpr std::size_t max_members = 64;
constexpr std::size_t max_name_bytes = 256;
constexpr const char* base64_suffix = "_base64";

bool is_ascii(const std::string& bytes) {
    return std::ranges::all_of(bytes, [](char byte) { return static_cast<unsigned char>(byte) < 0x80U; });
}

std::string to_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    return text;
}

std::optional<std::string> from_base64(const std::string& text) {
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    if (padding > 2) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

error malformed(const std::string& problem) {
    return {error_code::malformed, problem};
}

} // namespace

field_reader::field_reader(const Json::Value& object) : m_object(object) {
    if (!object.isObject()) {
        record_problem("an object is expected");
    }
}

void field_reader::record_problem(const std::string& problem) {
    if (!m_problem) {
        m_problem = malformed(problem);
    }
}

const Json::Value& field_reader::field(const char* name, Json::ValueType type) {
    if (m_problem || !m_object.isMember(name) || m_object[name].type() != type) {
        record_problem(std::string{"the field \""} + name + "\" is missing or has another type");
        return Json::Value::nullSingleton();
    }
    return m_object[name];
}

std::uint64_t field_reader::number(const char* name) {
    if (m_problem || !m_object.isMember(name) || !m_object[name].isUInt64()) {
        record_problem(std::string{"the field \""} + name + "\" is not a number of 0 or more");
        return 0;
    }
    return m_object[name].asUInt64();
}

bool field_reader::flag(const char* name) {
    const Json::Value& value = field(name, Json::booleanValue);
    return value.isBool() && value.asBool();
}

std::string field_reader::text(const char* name) {
    const Json::Value& value = field(name, Json::stringValue);
    return value.isString() ? value.asString() : std::string{};
}

std::string field_reader::bytes(const char* name) {
    const std::string encoded_name = std::string{name} + base64_suffix;
    if (m_problem || !m_object.isMember(encoded_name)) {
        return text(name);
    }
    const auto decoded = from_base64(text(encoded_name.c_str()));
    if (!decoded) {
        record_problem("the field \"" + encoded_name + "\" is not valid base64");
    }
    return decoded.value_or(std::string{});
}

member_id field_reader::member(const char* name) {
    auto decoded = decode_member(field(name, Json::objectValue));
    if (!succeeded(decoded)) {
        record_problem(error_of(decoded).message);
        return {};
    }
    return value_of(std::move(decoded));
}

std::vector<member_id> field_reader::member_list(const char* name) {
    const Json::Value& list = field(name, Json::arrayValue);
    if (list.size() > max_members) {
        record_problem(std::string{"the field \""} + name + "\" lists too many members");
        return {};
    }
    std::vector<member_id> members;
    for (const Json::Value& item : list) {
        auto decoded = decode_member(item);
        if (!succeeded(decoded)) {
            record_problem(error_of(decoded).message);
            return {};
        }
        members.push_back(value_of(std::move(decoded)));
    }
    return members;
}

log_position field_reader::position(const char* name) {
    field_reader reader{field(name, Json::objectValue)};
    const log_position decoded{reader.number("term"), reader.number("index")};
    if (reader.problem()) {
        record_problem(reader.problem()->message);
    }
    return decoded;
}

Json::Value encode_member(const member_id& member) {
    Json::Value json{Json::objectValue};
    json["host"] = member.host.value();
    json["incarnation"] = Json::UInt64{member.incarnation.value};
    return json;
}

Json::Value encode_members(const log_members& members) {
    Json::Value json{Json::objectValue};
    json["voters"] = Json::Value{Json::arrayValue};
    json["learners"] = Json::Value{Json::arrayValue};
    for (const member_id& voter : members.voters) {
        json["voters"].append(encode_member(voter));
    }
    for (const member_id& learner : members.learners) {
        json["learners"].append(encode_member(learner));
    }
    return json;
}

Json::Value encode_position(const log_position& position) {
    Json::Value json{Json::objectValue};
    json["term"] = Json::UInt64{position.term};
    json["index"] = Json::UInt64{position.index};
    return json;
}

Json::Value encode_log_entry(const log_entry& entry) {
    Json::Value json = encode_position({entry.term, entry.index});
    json["kind"] = std::string{to_name(entry.kind)};
    if (entry.kind == entry_kind::members) {
        json["members"] = encode_members(entry.members);
    } else {
        write_bytes(json, "content", entry.content);
    }
    return json;
}

outcome<member_id> decode_member(const Json::Value& json) {
    field_reader reader{json};
    const member_id member{host_id{reader.text("host")}, incarnation_id{reader.number("incarnation")}};
    if (!reader.problem() && (member.host.empty() || member.host.value().size() > max_name_bytes)) {
        reader.record_problem("the name of a host is empty or too long");
    }
    if (reader.problem()) {
        return *reader.problem();
    }
    return member;
}

outcome<log_members> decode_members(const Json::Value& json) {
    field_reader reader{json};
    log_members members{reader.member_list("voters"), reader.member_list("learners")};
    if (reader.problem()) {
        return *reader.problem();
    }
    return members;
}

outcome<log_entry> decode_log_entry(const Json::Value& json) {
    field_reader reader{json};
    log_entry entry;
    entry.term = reader.number("term");
    entry.index = reader.number("index");
    const auto kind = from_name<entry_kind>(reader.text("kind"));
    if (!kind && !reader.problem()) {
        reader.record_problem("the kind of an entry is unknown");
    }
    entry.kind = kind.value_or(entry_kind::command);
    if (entry.kind == entry_kind::members && !reader.problem()) {
        auto members = decode_members(reader.field("members", Json::objectValue));
        if (!succeeded(members)) {
            return error_of(members);
        }
        entry.members = value_of(std::move(members));
    } else {
        entry.content = reader.bytes("content");
    }
    if (reader.problem()) {
        return *reader.problem();
    }
    return entry;
}

void write_bytes(Json::Value& object, const std::string& name, const std::string& bytes) {
    if (is_ascii(bytes)) {
        object[name] = bytes;
    } else {
        object[name + base64_suffix] = to_base64(bytes);
    }
}

std::string to_line(const Json::Value& json) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

outcome<Json::Value> parse_line(const std::string& text) {
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value json;
    std::string problem;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &json, &problem)) {
            return malformed("invalid JSON: " + problem);
        }
    } catch (const Json::Exception& failure) {
        return malformed(failure.what());
    }
    return json;
}

} // namespace tamarack
