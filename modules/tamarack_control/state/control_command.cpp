#include "control_command.h"

#include "packed_text.h"

#include <string_view>

namespace tamarack {

namespace {

constexpr std::string_view ticket_kind = "ticket";
constexpr std::string_view claim_kind = "claim";
constexpr std::string_view result_kind = "claim_result";
constexpr std::string_view assignment_kind = "assignment";
constexpr std::string_view evacuation_kind = "evacuation";

struct change_encoder {
    Json::Value& json;

    void operator()(const ticket& value) const { put(ticket_kind, encode_ticket(value)); }
    void operator()(const claim& value) const { put(claim_kind, encode_claim(value)); }
    void operator()(const claim_result& value) const { put(result_kind, encode_claim_result(value)); }
    void operator()(const assignment& value) const { put(assignment_kind, encode_assignment(value)); }
    void operator()(const evacuation_order& value) const {
        put(evacuation_kind, encode_evacuation_order(value));
    }

    void put(std::string_view kind, Json::Value change) const {
        json["kind"] = std::string{kind};
        json["change"] = std::move(change);
    }
};

template <typename Value>
outcome<control_change> as_change(outcome<Value> decoded) {
    if (!succeeded(decoded)) {
        return error_of(decoded);
    }
    return outcome<control_change>{std::in_place_type<control_change>, std::in_place_type<Value>,
                                   value_of(std::move(decoded))};
}

outcome<control_change> decode_change(const std::string& kind, const Json::Value& json) {
    if (kind == ticket_kind) {
        return as_change(decode_ticket(json));
    }
    if (kind == claim_kind) {
        return as_change(decode_claim(json));
    }
    if (kind == result_kind) {
        return as_change(decode_claim_result(json));
    }
    if (kind == assignment_kind) {
        return as_change(decode_assignment(json));
    }
    if (kind == evacuation_kind) {
        return as_change(decode_evacuation_order(json));
    }
    return error{error_code::malformed, "unknown kind of command: " + kind};
}

} // namespace

std::string encode_command(const control_command& command) {
    Json::Value json{Json::objectValue};
    json["proposed_at"] = Json::Value::Int64{command.proposed_at.count()};
    std::visit(change_encoder{json}, command.change);
    return pack_text(write_json(json));
}

outcome<control_command> decode_command(const std::string& text) {
    const auto plain = unpack_text(text);
    if (!succeeded(plain)) {
        return error_of(plain);
    }
    const auto json = read_json(value_of(plain));
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    const wall_time proposed_at{reader.number("proposed_at", presence::required, 0, INT64_MAX)};
    const std::string kind = reader.text("kind");
    const Json::Value& body = reader.any("change");
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    auto change = decode_change(kind, body);
    if (!succeeded(change)) {
        return error_of(change);
    }
    return control_command{proposed_at, value_of(std::move(change))};
}

} // namespace tamarack
