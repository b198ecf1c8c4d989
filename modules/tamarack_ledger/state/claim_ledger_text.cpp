#include "claim_codec.h"
#include "claim_ledger.h"

#include <tamarack_tickets/tamarack_tickets.h>

#include <sstream>

namespace tamarack {

namespace {

Json::Value encode_withdrawn(const attempt_id& attempt, wall_time expires_at) {
    Json::Value json{Json::objectValue};
    json["withdrawn_service"] = attempt.service.value();
    json["key"] = attempt.key.value();
    json["attempt"] = Json::Value::UInt64{attempt.attempt};
    json["expires_at"] = Json::Value::Int64{expires_at.count()};
    return json;
}

void read_withdrawn(object_reader& reader, withdrawn_attempts& withdrawn) {
    const attempt_id attempt{service_id{reader.text("withdrawn_service")},
                             idempotency_key{reader.text("key")}, reader.number("attempt")};
    withdrawn.add(attempt, wall_time{reader.number("expires_at", presence::required, 0, INT64_MAX)});
}

outcome<wall_time> decode_now(const std::string& line) {
    const auto json = read_json(line);
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    const wall_time now{reader.number("now", presence::required, 0, INT64_MAX)};
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return now;
}

} // namespace

std::string claim_ledger::save() const {
    Json::Value head{Json::objectValue};
    head["now"] = Json::Value::Int64{m_now.count()};
    json_lines lines;
    lines.add(head);
    for (const auto& [key, entry] : m_entries) {
        Json::Value json{Json::objectValue};
        json["claim"] = encode_claim(entry.claimed);
        if (entry.ended) {
            json["result"] = std::string{to_name(entry.result)};
            json["reply"] = entry.reply;
            json["reply_is_digest"] = entry.reply_is_digest;
        }
        lines.add(json);
    }
    for (const auto& [attempt, expires_at] : m_withdrawn.all()) {
        lines.add(encode_withdrawn(attempt, expires_at));
    }
    return lines.text();
}

outcome<done> claim_ledger::restore(const std::string& text) {
    std::istringstream lines{text};
    std::string line;
    std::getline(lines, line);
    const auto now = decode_now(line);
    if (!succeeded(now)) {
        return error_of(now);
    }
    claim_ledger restored{m_limits};
    restored.m_now = value_of(now);
    while (std::getline(lines, line)) {
        if (auto added = restored.restore_line(line); !succeeded(added)) {
            return added;
        }
    }
    *this = std::move(restored);
    return done{};
}

outcome<done> claim_ledger::restore_line(const std::string& line) {
    const auto json = read_json(line);
    if (!succeeded(json)) {
        return error_of(json);
    }
    ticket_faults faults;
    object_reader reader{value_of(json), "", faults};
    if (value_of(json).isMember("withdrawn_service")) {
        read_withdrawn(reader, m_withdrawn);
        return faults.empty() ? outcome<done>{done{}} : outcome<done>{error_of_faults(faults)};
    }
    const auto claimed = decode_claim(reader.any("claim"));
    if (!succeeded(claimed)) {
        return error_of(claimed);
    }
    const entry_key key{value_of(claimed).service, value_of(claimed).key};
    ledger_entry& entry = m_entries[key];
    entry.claimed = value_of(claimed);
    entry.ended = value_of(json).isMember("result");
    if (entry.ended) {
        entry.result = reader.choice("result", entry.result);
        entry.reply = reader.text("reply");
        entry.reply_is_digest = reader.flag("reply_is_digest", false);
    }
    m_by_issue.emplace(entry.claimed.issued_at, key);
    return faults.empty() ? outcome<done>{done{}} : outcome<done>{error_of_faults(faults)};
}

} // namespace tamarack
