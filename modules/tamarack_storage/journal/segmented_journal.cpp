#include "segmented_journal.h"

#include "../files/file_operations.h"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace tamarack {

namespace {

namespace files = std::filesystem;

constexpr std::uint64_t segment_bytes = std::uint64_t{1024} * 1024;

} // namespace

segmented_journal::segmented_journal(std::string directory, journal_files found, file_hooks hooks)
    : m_directory(std::move(directory)), m_hooks(std::move(hooks)), m_recovered(std::move(found.content)),
      m_segments(std::move(found.segments)), m_vote(m_recovered.vote),
      m_last_index(m_recovered.records.empty() ? m_recovered.snapshot_index
                                               : m_recovered.records.back().index),
      m_snapshot_index(m_recovered.snapshot_index), m_snapshot_bytes(found.snapshot_bytes) {}

outcome<done> segmented_journal::store(const journal_write& change) {
    if (m_recovered.damaged) {
        return error{error_code::damaged, "the journal in " + m_directory + " is damaged"};
    }
    const auto last_index = index_after(change);
    if (!succeeded(last_index)) {
        return error_of(last_index);
    }
    if (auto discarded = discard_failed_write(); !succeeded(discarded)) {
        return discarded;
    }
    m_write_failed = true;
    if (auto applied = apply(change); !succeeded(applied)) {
        return applied;
    }
    m_write_failed = false;
    m_last_index = value_of(last_index);
    if (!change.snapshot.empty() || m_cleanup_failure) {
        remove_covered_files();
    }
    return done{};
}

outcome<std::uint64_t> segmented_journal::index_after(const journal_write& change) const {
    std::uint64_t last = m_last_index;
    if (change.truncate_from > 0) {
        last = std::min(last, change.truncate_from - 1);
    }
    const std::uint64_t covered = std::max(m_snapshot_index, change.snapshot_index);
    last = std::max(last, covered);
    for (const journal_record& record : change.records) {
        if (record.index <= covered) {
            continue;
        }
        if (record.index != last + 1) {
            return error{error_code::conflict, "record " + std::to_string(record.index) +
                                                   " does not follow record " + std::to_string(last)};
        }
        last = record.index;
    }
    return last;
}

outcome<done> segmented_journal::discard_failed_write() {
    if (!m_write_failed || !m_newest_segment.is_open()) {
        return done{};
    }
    const segment_file& segment = m_segments.back();
    const auto end = static_cast<off_t>(segment.bytes);
    // Synced by itself: after a loss of power, bytes of the failed write must not stand within a later one.
    const bool discarded = ::ftruncate(m_newest_segment.descriptor(), end) == 0 &&
                           ::lseek(m_newest_segment.descriptor(), end, SEEK_SET) == end &&
                           m_hooks.sync(m_newest_segment.descriptor()) == 0;
    return discarded ? outcome<done>{done{}}
                     : system_error("can't remove the incomplete write at the end of", segment.path);
}

outcome<done> segmented_journal::apply(const journal_write& change) {
    const bool new_snapshot = !change.snapshot.empty() && change.snapshot_index != m_snapshot_index;
    if (new_snapshot) {
        if (auto written = write_snapshot(change); !succeeded(written)) {
            return written;
        }
    }
    return append_records(change);
}

outcome<done> segmented_journal::write_snapshot(const journal_write& change) {
    const std::string bytes = format_record({record_kind::entry, change.snapshot_index, change.snapshot}, 0);
    auto written = replace_file(m_directory, snapshot_name(change.snapshot_index), bytes, m_hooks);
    if (succeeded(written)) {
        m_snapshot_index = change.snapshot_index;
        m_snapshot_bytes = bytes.size();
        m_newest_segment.reset();
    }
    return written;
}

outcome<done> segmented_journal::append_records(const journal_write& change) {
    if (!change.vote.empty()) {
        m_vote = change.vote;
    }
    if (!m_newest_segment.is_open() || m_segments.back().bytes >= segment_bytes) {
        if (auto created = create_segment(); !succeeded(created)) {
            return created;
        }
    }
    if (m_segments.back().bytes == 0) {
        if (auto begun = begin_segment(); !succeeded(begun)) {
            return begun;
        }
    }
    std::string bytes;
    if (!change.vote.empty()) {
        add_record(bytes, {record_kind::vote, 0, change.vote});
    }
    if (change.truncate_from > 0) {
        add_record(bytes, {record_kind::truncate, change.truncate_from, {}});
    }
    for (const journal_record& record : change.records) {
        add_record(bytes, {record_kind::entry, record.index, record.content});
    }
    segment_file& segment = m_segments.back();
    if (auto written = write_all(m_newest_segment, bytes, m_hooks, segment.path); !succeeded(written)) {
        return written;
    }
    if (m_hooks.sync(m_newest_segment.descriptor()) != 0) {
        return system_error("can't sync", segment.path);
    }
    segment.bytes += bytes.size();
    if (!change.records.empty()) {
        segment.last_index = std::max(segment.last_index, change.records.back().index);
    }
    return done{};
}

outcome<done> segmented_journal::create_segment() {
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.back().number + 1;
    const std::string path = segment_path(m_directory, number);
    auto file = create_file(path);
    if (!succeeded(file)) {
        return error_of(file);
    }
    m_newest_segment = value_of(std::move(file));
    m_segments.push_back({path, number, 0, 0});
    return done{};
}

outcome<done> segmented_journal::begin_segment() {
    segment_file& segment = m_segments.back();
    const auto fingerprint = segment_fingerprint(segment.path);
    if (!succeeded(fingerprint)) {
        return error_of(fingerprint);
    }
    std::string bytes;
    add_record(bytes, {record_kind::segment_start, 0, value_of(fingerprint)});
    add_record(bytes, {record_kind::vote, 0, m_vote});
    if (auto written = write_all(m_newest_segment, bytes, m_hooks, segment.path); !succeeded(written)) {
        return written;
    }
    if (auto synced = sync_directory(m_directory, m_hooks); !succeeded(synced)) {
        return synced;
    }
    segment.bytes = bytes.size();
    return done{};
}

void segmented_journal::add_record(std::string& bytes, const file_record& record) {
    bytes += format_record(record, m_segments.back().bytes + bytes.size());
}

void segmented_journal::remove_covered_files() {
    m_cleanup_failure.reset();
    if (const auto removed = try_remove_covered_files(); !succeeded(removed)) {
        m_cleanup_failure = error_of(removed);
    }
}

outcome<done> segmented_journal::try_remove_covered_files() {
    std::error_code failure;
    while (m_segments.size() > 1 && m_segments.front().last_index <= m_snapshot_index) {
        if (files::remove(m_segments.front().path, failure); failure) {
            break;
        }
        m_segments.erase(m_segments.begin());
    }
    const std::string current = snapshot_name(m_snapshot_index);
    const auto names = list_directory(m_directory);
    if (!succeeded(names)) {
        return error_of(names);
    }
    for (const std::string& name : value_of(names)) {
        if (!failure && name.starts_with("snapshot-") && name != current) {
            files::remove(m_directory + "/" + name, failure);
        }
    }
    if (failure) {
        return error{error_code::input_output, "can't remove old files of the journal: " + failure.message()};
    }
    return sync_directory(m_directory, m_hooks);
}

std::uint64_t segmented_journal::size_on_disk() const {
    std::uint64_t total = m_snapshot_bytes;
    for (const segment_file& segment : m_segments) {
        total += segment.bytes;
    }
    return total;
}

outcome<std::unique_ptr<journal>> open_journal(const opened_folder& folder, file_hooks hooks) {
    const std::string directory = folder.path + "/journal";
    std::error_code failure;
    files::create_directory(directory, failure);
    if (failure) {
        return error{error_code::input_output, "can't create " + directory + ": " + failure.message()};
    }
    if (auto synced = sync_directory(folder.path, hooks); !succeeded(synced)) {
        return error_of(synced);
    }
    auto found = read_journal(directory, hooks);
    if (!succeeded(found)) {
        return error_of(found);
    }
    const bool fresh = folder.condition == folder_condition::fresh;
    journal_files content = value_of(std::move(found));
    content.content.damaged = content.content.damaged || (content.segments.empty() && !fresh);
    auto opened = std::make_unique<segmented_journal>(directory, std::move(content), std::move(hooks));
    if (auto begun = fresh ? opened->store({}) : outcome<done>{done{}}; !succeeded(begun)) {
        return error_of(begun);
    }
    return opened;
}

} // namespace tamarack
