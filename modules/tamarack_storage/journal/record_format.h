#pragma once

#include "journal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/** Effect of a record when its segment is replayed. */
enum class record_kind : std::uint32_t {
    segment_start = 1, ///< first record of each segment; its content is the file's fingerprint
    vote = 2,          ///< replaces the vote
    truncate = 3,      ///< removes entries from its index on
    entry = 4,         ///< appends an entry
};

/** One record as stored in a file. */
struct file_record {
    record_kind kind = record_kind::entry;
    std::uint64_t index = 0;
    std::string content;
};

/** Result of parsing a record. */
enum class parse_result {
    good,
    end,  ///< no bytes are left
    torn, ///< its write was interrupted: the file ends within the record, or all bytes from some place within
          ///< the record to the end of the file are zero
    damaged, ///< any other record that fails a checksum
};

/** A parsed record, and the offset of the next one. */
struct parsed_record {
    parse_result result = parse_result::end;
    file_record record;
    std::size_t next = 0;
};

/**
 * Serialises a record: length, kind, index, checksum of the content, checksum of the four fields before it,
 * content.
 *
 * @param offset  offset of the record in its file; included in both checksums
 */
std::string format_record(const file_record& record, std::size_t offset);

/**
 * Parses the record at an offset.
 *
 * A record counts as torn only when the file shows that its write was interrupted. Any other record that
 * fails a checksum counts as damaged, since truncating the file there could remove data that was reported as
 * stored.
 */
parsed_record parse_record(std::string_view file, std::size_t offset);

} // namespace tamarack
