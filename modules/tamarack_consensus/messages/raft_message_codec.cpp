#include "raft_message_codec.h"

#include "json_fields.h"

#include <map>

namespace tamarack {

namespace {

constexpr std::size_t max_entries = 4'096;
constexpr std::size_t max_part_bytes = std::size_t{4} * 1024 * 1024;

Json::Value number(std::uint64_t value) {
    return Json::UInt64{value};
}

/** Encodes each message type; the field "type" holds its name. */
struct message_encoder {
    Json::Value operator()(const vote_request& message) const {
        Json::Value json = typed("vote_request", message.term);
        json["last"] = encode_position(message.last);
        json["pre_vote"] = message.pre_vote;
        return json;
    }

    Json::Value operator()(const vote_reply& message) const {
        Json::Value json = typed("vote_reply", message.term);
        json["granted"] = message.granted;
        json["pre_vote"] = message.pre_vote;
        return json;
    }

    Json::Value operator()(const append_request& message) const {
        Json::Value json = typed("append_request", message.term);
        json["previous"] = encode_position(message.previous);
        json["entries"] = Json::Value{Json::arrayValue};
        for (const log_entry& entry : message.entries) {
            json["entries"].append(encode_log_entry(entry));
        }
        json["committed"] = number(message.committed);
        json["round"] = number(message.round);
        return json;
    }

    Json::Value operator()(const append_reply& message) const {
        Json::Value json = typed("append_reply", message.term);
        json["matched"] = message.matched;
        json["match"] = number(message.match);
        json["conflict"] = encode_position(message.conflict);
        json["last"] = number(message.last);
        json["round"] = number(message.round);
        return json;
    }

    Json::Value operator()(const snapshot_request& message) const {
        Json::Value json = typed("snapshot_request", message.term);
        json["last"] = encode_position(message.last);
        json["members"] = encode_members(message.members);
        json["offset"] = number(message.offset);
        write_bytes(json, "part", message.part);
        json["final_part"] = message.final_part;
        json["round"] = number(message.round);
        return json;
    }

    Json::Value operator()(const snapshot_reply& message) const {
        Json::Value json = typed("snapshot_reply", message.term);
        json["next_offset"] = number(message.next_offset);
        json["installed"] = message.installed;
        json["last"] = number(message.last);
        json["round"] = number(message.round);
        return json;
    }

    Json::Value operator()(const join_request& message) const {
        Json::Value json{Json::objectValue};
        json["type"] = "join_request";
        json["last"] = number(message.last);
        return json;
    }

    Json::Value operator()(const election_request& message) const {
        return typed("election_request", message.term);
    }

    static Json::Value typed(const char* type, log_term term) {
        Json::Value json{Json::objectValue};
        json["type"] = type;
        json["term"] = number(term);
        return json;
    }
};

raft_message read_vote_request(field_reader& reader) {
    return vote_request{reader.number("term"), reader.position("last"), reader.flag("pre_vote")};
}

raft_message read_vote_reply(field_reader& reader) {
    return vote_reply{reader.number("term"), reader.flag("granted"), reader.flag("pre_vote")};
}

raft_message read_append_request(field_reader& reader) {
    append_request message;
    message.term = reader.number("term");
    message.previous = reader.position("previous");
    message.committed = reader.number("committed");
    message.round = reader.number("round");
    const Json::Value& entries = reader.field("entries", Json::arrayValue);
    if (entries.size() > max_entries) {
        reader.record_problem("a message carries too many entries");
        return message;
    }
    log_index expected = message.previous.index;
    for (const Json::Value& item : entries) {
        auto entry = decode_log_entry(item);
        if (!succeeded(entry) || value_of(entry).index != ++expected) {
            reader.record_problem(succeeded(entry) ? "the indices of entries are not consecutive"
                                                   : error_of(entry).message);
            return message;
        }
        message.entries.push_back(value_of(std::move(entry)));
    }
    return message;
}

raft_message read_append_reply(field_reader& reader) {
    return append_reply{reader.number("term"),       reader.flag("matched"), reader.number("match"),
                        reader.position("conflict"), reader.number("last"),  reader.number("round")};
}

raft_message read_snapshot_request(field_reader& reader) {
    snapshot_request message;
    message.term = reader.number("term");
    message.last = reader.position("last");
    message.offset = reader.number("offset");
    message.part = reader.bytes("part");
    message.final_part = reader.flag("final_part");
    message.round = reader.number("round");
    auto members = decode_members(reader.field("members", Json::objectValue));
    if (!succeeded(members) || message.part.size() > max_part_bytes) {
        reader.record_problem("the members or the part of a snapshot are invalid");
        return message;
    }
    message.members = value_of(std::move(members));
    return message;
}

raft_message read_snapshot_reply(field_reader& reader) {
    return snapshot_reply{reader.number("term"), reader.number("next_offset"), reader.flag("installed"),
                          reader.number("last"), reader.number("round")};
}

raft_message read_join_request(field_reader& reader) {
    return join_request{reader.number("last")};
}

raft_message read_election_request(field_reader& reader) {
    return election_request{reader.number("term")};
}

using message_decoder = raft_message (*)(field_reader&);

message_decoder decoder_of(const std::string& type) {
    static const std::map<std::string, message_decoder> decoders{
        {"vote_request", read_vote_request},         {"vote_reply", read_vote_reply},
        {"append_request", read_append_request},     {"append_reply", read_append_reply},
        {"snapshot_request", read_snapshot_request}, {"snapshot_reply", read_snapshot_reply},
        {"join_request", read_join_request},         {"election_request", read_election_request},
    };
    const auto found = decoders.find(type);
    return found == decoders.end() ? nullptr : found->second;
}

} // namespace

Json::Value encode_envelope(const raft_envelope& envelope) {
    Json::Value json{Json::objectValue};
    json["from"] = encode_member(envelope.from);
    json["to"] = encode_member(envelope.to);
    json["message"] = std::visit(message_encoder{}, envelope.message);
    return json;
}

outcome<raft_envelope> decode_envelope(const Json::Value& json) {
    field_reader reader{json};
    raft_envelope envelope{reader.member("from"), reader.member("to"), {}};
    const Json::Value& message = reader.field("message", Json::objectValue);
    if (reader.problem()) {
        return *reader.problem();
    }
    field_reader fields{message};
    const message_decoder decode = decoder_of(fields.text("type"));
    if (decode == nullptr) {
        return error{error_code::malformed, "the type of a message is missing or unknown"};
    }
    envelope.message = decode(fields);
    if (fields.problem()) {
        return *fields.problem();
    }
    return envelope;
}

} // namespace tamarack
