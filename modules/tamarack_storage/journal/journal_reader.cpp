#include "journal_reader.h"

#include "../files/file_operations.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <optional>
#include <unistd.h>

namespace tamarack {

namespace {

constexpr std::string_view segment_prefix = "segment-";
constexpr std::string_view snapshot_prefix = "snapshot-";

std::string numbered_name(std::string_view prefix, std::uint64_t number) {
    constexpr std::size_t digits = 20;
    std::string text = std::to_string(number);
    return std::string{prefix} + std::string(digits - text.size(), '0') + text;
}

std::optional<std::uint64_t> parse_numbered_name(const std::string& name, std::string_view prefix) {
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
    return parsed.ptr == end ? std::optional{number} : std::nullopt;
}

/** Replays the newest snapshot and the segments of a journal. */
class journal_replay {
public:
    journal_replay(std::string directory, const file_hooks& hooks)
        : m_directory(std::move(directory)), m_hooks(hooks) {}

    outcome<journal_files> run() {
        if (const auto listed = list_files(); !succeeded(listed)) {
            return error_of(listed);
        }
        if (const auto read = read_snapshot(); !succeeded(read)) {
            return error_of(read);
        }
        const bool lacks_first_segment = !m_found.segments.empty() && m_found.segments.front().number > 1;
        m_found.content.damaged = m_found.content.damaged || (lacks_first_segment && m_snapshot_index == 0);
        for (segment_file& segment : m_found.segments) {
            if (m_found.content.damaged) {
                break;
            }
            if (const auto read = read_segment(segment); !succeeded(read)) {
                return error_of(read);
            }
        }
        return std::move(m_found);
    }

private:
    outcome<done> list_files() {
        const auto names = list_directory(m_directory);
        if (!succeeded(names)) {
            return error_of(names);
        }
        for (const std::string& name : value_of(names)) {
            if (const auto number = parse_numbered_name(name, segment_prefix)) {
                m_found.segments.push_back({m_directory + "/" + name, *number, 0, 0});
            }
            if (const auto index = parse_numbered_name(name, snapshot_prefix)) {
                m_snapshot_index = std::max(m_snapshot_index, *index);
            }
        }
        return done{};
    }

    outcome<done> read_snapshot() {
        if (m_snapshot_index == 0) {
            return done{};
        }
        const auto bytes = read_file(m_directory + "/" + snapshot_name(m_snapshot_index));
        if (!succeeded(bytes)) {
            return error_of(bytes);
        }
        const parsed_record read = parse_record(value_of(bytes), 0);
        if (read.result != parse_result::good || read.record.index != m_snapshot_index) {
            m_found.content.damaged = true;
            return done{};
        }
        m_found.content.snapshot_index = m_snapshot_index;
        m_found.content.snapshot = read.record.content;
        m_found.snapshot_bytes = value_of(bytes).size();
        return done{};
    }

    outcome<done> read_segment(segment_file& segment) {
        const bool is_last = &segment == &m_found.segments.back();
        const bool is_consecutive =
            &segment == m_found.segments.data() || segment.number == (&segment)[-1].number + 1;
        const auto bytes = read_file(segment.path);
        if (!succeeded(bytes)) {
            return error_of(bytes);
        }
        segment.bytes = value_of(bytes).size();
        m_found.content.damaged = !is_consecutive;
        std::size_t offset = 0;
        while (!m_found.content.damaged) {
            const parsed_record read = parse_record(value_of(bytes), offset);
            if (read.result == parse_result::end) {
                break;
            }
            if (read.result == parse_result::torn && is_last) {
                m_found.content.tail_truncated = true;
                return truncate_tail(segment, offset);
            }
            const bool good = read.result == parse_result::good && replay(segment, read.record, offset);
            m_found.content.damaged = !good;
            offset = read.next;
        }
        return done{};
    }

    /** @return false when the record is not valid at this position */
    bool replay(segment_file& segment, const file_record& record, std::size_t offset) {
        if (offset == 0) {
            const auto fingerprint = segment_fingerprint(segment.path);
            return record.kind == record_kind::segment_start && succeeded(fingerprint) &&
                   record.content == value_of(fingerprint);
        }
        switch (record.kind) {
        case record_kind::vote:
            m_found.content.vote = record.content;
            return true;
        case record_kind::truncate:
            truncate_from(record.index);
            return true;
        case record_kind::entry:
            segment.last_index = std::max(segment.last_index, record.index);
            return append(record);
        case record_kind::segment_start:
            break;
        }
        return false;
    }

    void truncate_from(std::uint64_t index) {
        auto& records = m_found.content.records;
        const auto first_removed =
            std::find_if(records.begin(), records.end(),
                         [index](const journal_record& record) { return record.index >= index; });
        records.erase(first_removed, records.end());
    }

    bool append(const file_record& record) {
        auto& content = m_found.content;
        if (record.index <= content.snapshot_index) {
            return true;
        }
        const std::uint64_t last =
            content.records.empty() ? content.snapshot_index : content.records.back().index;
        if (record.index != last + 1) {
            return false;
        }
        content.records.push_back({record.index, record.content});
        return true;
    }

    outcome<done> truncate_tail(segment_file& segment, std::size_t offset) {
        const unique_file file{::open(segment.path.c_str(), O_WRONLY | O_CLOEXEC)};
        const bool cut = file.is_open() && ::ftruncate(file.descriptor(), static_cast<off_t>(offset)) == 0 &&
                         m_hooks.sync(file.descriptor()) == 0;
        segment.bytes = offset;
        return cut ? outcome<done>{done{}}
                   : system_error("can't remove the incomplete record at the end of", segment.path);
    }

    std::string m_directory;
    const file_hooks& m_hooks;
    journal_files m_found;
    std::uint64_t m_snapshot_index = 0;
};

} // namespace

std::string segment_path(const std::string& directory, std::uint64_t number) {
    return directory + "/" + numbered_name(segment_prefix, number);
}

std::string snapshot_name(std::uint64_t index) {
    return numbered_name(snapshot_prefix, index);
}

outcome<std::string> segment_fingerprint(const std::string& path) {
    const unique_file file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (!file.is_open()) {
        return system_error("can't open", path);
    }
    const auto fingerprint = fingerprint_of(file, path);
    if (!succeeded(fingerprint)) {
        return error_of(fingerprint);
    }
    return std::to_string(value_of(fingerprint).inode) + " " +
           std::to_string(value_of(fingerprint).birth_time_ns);
}

outcome<journal_files> read_journal(const std::string& directory, const file_hooks& hooks) {
    return journal_replay{directory, hooks}.run();
}

} // namespace tamarack
