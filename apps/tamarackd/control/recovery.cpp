#include "recovery.h"

#include <utility>

namespace tamarack {

namespace {

outcome<done> recover_entries(const journal_content& content, recovered_log& log) {
    for (const journal_record& record : content.records) {
        auto entry = decode_entry(record.content);
        if (!succeeded(entry)) {
            return error_of(entry);
        }
        log.entries.push_back(value_of(std::move(entry)));
    }
    return done{};
}

} // namespace

outcome<recovered_log> recover_log(const journal_content& content) {
    recovered_log log;
    if (!content.vote.empty()) {
        const auto vote = decode_vote(content.vote);
        if (!succeeded(vote)) {
            return error_of(vote);
        }
        log.vote = value_of(vote);
    }
    if (!content.snapshot.empty()) {
        auto snapshot = decode_snapshot(content.snapshot);
        if (!succeeded(snapshot)) {
            return error_of(snapshot);
        }
        log.snapshot = value_of(std::move(snapshot));
    }
    if (const auto entries = recover_entries(content, log); !succeeded(entries)) {
        return error_of(entries);
    }
    return log;
}

journal_write to_journal_write(const persist_change& change) {
    journal_write write;
    if (change.vote) {
        write.vote = encode_vote(*change.vote);
    }
    write.truncate_from = change.truncate_from;
    for (const log_entry& entry : change.entries) {
        write.records.push_back({entry.index, encode_entry(entry)});
    }
    if (change.snapshot) {
        write.snapshot_index = change.snapshot->last.index;
        write.snapshot = encode_snapshot(*change.snapshot);
    }
    return write;
}

} // namespace tamarack
