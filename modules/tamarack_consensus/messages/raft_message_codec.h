#pragma once

#include "raft_message.h"

#include <json/value.h>

#include <string>

namespace tamarack {

/** @return the envelope as JSON, as documented in docs/PROTOCOL.md */
Json::Value encode_envelope(const raft_envelope& envelope);

/** @return the envelope, or what is wrong with the JSON; fields that are missing or too large are errors */
outcome<raft_envelope> decode_envelope(const Json::Value& json);

/** @return an entry as text for the journal */
std::string encode_entry(const log_entry& entry);
/** @return the entry, or what is wrong with the text */
outcome<log_entry> decode_entry(const std::string& text);

/** @return a vote as text for the journal */
std::string encode_vote(const durable_vote& vote);
/** @return the vote, or what is wrong with the text */
outcome<durable_vote> decode_vote(const std::string& text);

/** @return a snapshot as text for the journal */
std::string encode_snapshot(const log_snapshot& snapshot);
/** @return the snapshot, or what is wrong with the text */
outcome<log_snapshot> decode_snapshot(const std::string& text);

} // namespace tamarack
