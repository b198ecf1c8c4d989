#include "control_state.h"

#include "packed_text.h"

#include <utility>

namespace tamarack {

namespace {

/** First line of a serialised state; the tickets and the claims follow it. */
struct state_head {
    assignment assigned;
    std::size_t ticket_bytes = 0;
    evacuation_orders evacuations; ///< not written before the first order, as earlier versions can't read it
};

std::string encode_head(const state_head& head) {
    Json::Value json{Json::objectValue};
    json["assigned"] = encode_assignment(head.assigned);
    json["ticket_bytes"] = Json::Value::UInt64{head.ticket_bytes};
    if (head.evacuations.epoch > 0) {
        json["evacuations"] = encode_evacuation_orders(head.evacuations);
    }
    return write_json(json);
}

outcome<state_head> decode_head(const std::string& line) {
    const auto json = read_json(line);
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    const auto assigned = decode_assignment(reader.any("assigned"));
    const std::size_t ticket_bytes = reader.number("ticket_bytes");
    outcome<evacuation_orders> evacuations = evacuation_orders{};
    if (const Json::Value& written = reader.any("evacuations", presence::optional); !written.isNull()) {
        evacuations = decode_evacuation_orders(written);
    }
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    if (!succeeded(assigned)) {
        return error_of(assigned);
    }
    if (!succeeded(evacuations)) {
        return error_of(evacuations);
    }
    return state_head{value_of(assigned), ticket_bytes, value_of(evacuations)};
}

} // namespace

control_state::control_state(history_limits history, ledger_limits ledger)
    : m_tickets(history), m_claims(ledger) {}

control_effect control_state::apply(const control_command& command) {
    if (const auto* candidate = std::get_if<ticket>(&command.change)) {
        return m_tickets.apply(*candidate, command.proposed_at);
    }
    if (const auto* wanted = std::get_if<claim>(&command.change)) {
        return m_claims.apply(*wanted, command.proposed_at);
    }
    if (const auto* ended = std::get_if<claim_result>(&command.change)) {
        m_claims.apply(*ended, command.proposed_at);
        return done{};
    }
    if (const auto* order = std::get_if<evacuation_order>(&command.change)) {
        m_evacuations.apply(*order);
        return done{};
    }
    apply(std::get<assignment>(command.change));
    return done{};
}

void control_state::apply(const assignment& planned) {
    if (planned.epoch == m_assigned.epoch + 1) {
        m_assigned = planned;
    }
}

std::string control_state::save() const {
    const std::string tickets = m_tickets.save();
    return pack_text(encode_head({m_assigned, tickets.size(), m_evacuations}) + "\n" + tickets +
                     m_claims.save());
}

outcome<done> control_state::restore(const std::string& saved) {
    const auto unpacked = unpack_text(saved);
    if (!succeeded(unpacked)) {
        return error_of(unpacked);
    }
    const std::string& text = value_of(unpacked);
    const std::size_t head_end = text.find('\n');
    const auto head = decode_head(text.substr(0, head_end));
    if (!succeeded(head)) {
        return error_of(head);
    }
    const std::size_t tickets_begin = head_end + 1;
    const std::size_t ticket_bytes = value_of(head).ticket_bytes;
    if (head_end == std::string::npos || text.size() - tickets_begin < ticket_bytes) {
        return error{error_code::malformed, "the saved state is shorter than its first line says"};
    }
    ticket_register tickets = m_tickets;
    if (auto read = tickets.restore(text.substr(tickets_begin, ticket_bytes)); !succeeded(read)) {
        return read;
    }
    if (auto read = m_claims.restore(text.substr(tickets_begin + ticket_bytes)); !succeeded(read)) {
        return read;
    }
    m_tickets = std::move(tickets);
    m_assigned = value_of(head).assigned;
    m_evacuations = value_of(head).evacuations;
    return done{};
}

} // namespace tamarack
