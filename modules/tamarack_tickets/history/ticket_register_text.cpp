#include "ticket_register.h"

#include <sstream>
#include <utility>

namespace tamarack {

namespace {

Json::Value encode_accepted(const accepted_ticket& value) {
    Json::Value json{Json::objectValue};
    json["number"] = Json::Value::UInt64{value.number.value};
    json["content"] = value.content.hex();
    json["author"] = value.author;
    json["accepted_at"] = Json::Value::Int64{value.accepted_at.count()};
    json["text"] = value.text;
    return json;
}

outcome<accepted_ticket> decode_accepted(const std::string& line) {
    const auto json = read_json(line);
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    accepted_ticket value;
    value.number = ticket_number{reader.number("number")};
    value.content = digest{reader.text("content")};
    value.author = reader.text("author");
    value.accepted_at = wall_time{reader.number("accepted_at", presence::required, 0, INT64_MAX)};
    value.text = reader.text("text");
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

struct register_head {
    configuration current;
    ticket_number forgotten;
};

outcome<register_head> decode_head(const std::string& line) {
    const auto json = read_json(line);
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    const auto current = decode_configuration(reader.any("current"));
    const ticket_number forgotten{reader.number("forgotten")};
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    if (!succeeded(current)) {
        return error_of(current);
    }
    return register_head{value_of(current), forgotten};
}

} // namespace

std::string ticket_register::save() const {
    Json::Value head{Json::objectValue};
    head["current"] = encode_configuration(*m_current);
    head["forgotten"] = Json::Value::UInt64{m_highest_dropped.value};
    json_lines lines;
    lines.add(head);
    for (const auto& item : m_history) {
        lines.add(encode_accepted(item));
    }
    return lines.text();
}

outcome<done> ticket_register::restore(const std::string& text) {
    std::istringstream lines{text};
    std::string line;
    std::getline(lines, line);
    auto head = decode_head(line);
    if (!succeeded(head)) {
        return error_of(head);
    }
    std::deque<accepted_ticket> history;
    while (std::getline(lines, line)) {
        auto item = decode_accepted(line);
        if (!succeeded(item)) {
            return error_of(item);
        }
        history.push_back(value_of(std::move(item)));
    }
    register_head restored = value_of(std::move(head));
    m_highest_dropped = restored.forgotten;
    m_current = std::make_shared<const configuration>(std::move(restored.current));
    m_history = std::move(history);
    return done{};
}

} // namespace tamarack
