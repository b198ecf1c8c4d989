/**
 * @file
 * Text encoding of entries, votes and snapshots for the journal.
 */
#include "json_fields.h"
#include "raft_message_codec.h"

namespace tamarack {

std::string encode_entry(const log_entry& entry) {
    return to_line(encode_log_entry(entry));
}

outcome<log_entry> decode_entry(const std::string& text) {
    const auto json = parse_line(text);
    if (!succeeded(json)) {
        return error_of(json);
    }
    return decode_log_entry(value_of(json));
}

std::string encode_vote(const durable_vote& vote) {
    Json::Value json{Json::objectValue};
    json["term"] = Json::UInt64{vote.term};
    if (vote.voted_for) {
        json["voted_for"] = encode_member(*vote.voted_for);
    }
    return to_line(json);
}

outcome<durable_vote> decode_vote(const std::string& text) {
    const auto json = parse_line(text);
    if (!succeeded(json)) {
        return error_of(json);
    }
    field_reader reader{value_of(json)};
    durable_vote vote{reader.number("term"), std::nullopt};
    if (!reader.problem() && value_of(json).isMember("voted_for")) {
        vote.voted_for = reader.member("voted_for");
    }
    if (reader.problem()) {
        return *reader.problem();
    }
    return vote;
}

std::string encode_snapshot(const log_snapshot& snapshot) {
    Json::Value json{Json::objectValue};
    json["last"] = encode_position(snapshot.last);
    json["members"] = encode_members(snapshot.members);
    write_bytes(json, "state", snapshot.state);
    return to_line(json);
}

outcome<log_snapshot> decode_snapshot(const std::string& text) {
    const auto json = parse_line(text);
    if (!succeeded(json)) {
        return error_of(json);
    }
    field_reader reader{value_of(json)};
    log_snapshot snapshot;
    snapshot.last = reader.position("last");
    auto members = decode_members(reader.field("members", Json::objectValue));
    snapshot.state = reader.bytes("state");
    if (reader.problem()) {
        return *reader.problem();
    }
    if (!succeeded(members)) {
        return error_of(members);
    }
    snapshot.members = value_of(std::move(members));
    return snapshot;
}

} // namespace tamarack
