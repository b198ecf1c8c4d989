#pragma once

#include "journal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/** What a record of a segment does when the segment is replayed. */
enum class record_kind : std::uint32_t {
    segment_start = 1, ///< first record of each segment; its content is the file's fingerprint
    vote = 2,          ///< replaces the vote
    truncate = 3,      ///< removes entries from its index on
    entry = 4,         ///< appends an entry
};

/** One record as it stands in a file. */
struct file_record {
    record_kind kind = record_kind::entry;
    std::uint64_t index = 0;
    std::string content;
};

/** How reading a record went. */
enum class parse_result {
    good,
    end,     ///< nothing is left
    torn,    ///< an unfinished write: the file ends within the record, or holds only zeros from there on
    damaged, ///< the record was written whole and has changed since
};

/** A record read from a file, and where the next one begins. */
struct parsed_record {
    parse_result result = parse_result::end;
    file_record record;
    std::size_t next = 0;
};

/**
 * Puts a record into bytes: length, kind, index, checksum of the content, checksum of these, content.
 *
 * @param offset  where the record will stand in its file; part of the checksums
 */
std::string format_record(const file_record& record, std::size_t offset);

/**
 * Reads the record at an offset.
 *
 * A record is taken as torn only where the file shows that its write was cut short. Anything else that fails
 * a checksum counts as damaged, since cutting it off could drop what was reported as stored.
 */
parsed_record parse_record(std::string_view file, std::size_t offset);

} // namespace tamarack
