#pragma once

#include "journal.h"
#include "record_format.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/** A segment file of a journal. */
struct segment_file {
    std::string path;
    std::uint64_t number = 0;     ///< one greater than that of the previous segment
    std::uint64_t last_index = 0; ///< highest index of its entries, 0 when it has none
    std::uint64_t bytes = 0;
};

/** The content and the files found in a journal's directory. */
struct journal_files {
    journal_content content;
    std::vector<segment_file> segments;
    std::uint64_t snapshot_bytes = 0;
};

/** @return the path of a segment */
std::string segment_path(const std::string& directory, std::uint64_t number);
/** @return the file name of a snapshot */
std::string snapshot_name(std::uint64_t index);
/** @return the fingerprint of a segment file, in the form that its first record stores */
outcome<std::string> segment_fingerprint(const std::string& path);

/**
 * Replays a journal's files: the newest snapshot, then the segments in order. Removes an incompletely written
 * record at the end of the last segment.
 *
 * @param directory  the journal's directory
 * @param hooks      system calls; the truncated segment is synced with them
 * @return the content and the files, or an error when files can't be read
 */
outcome<journal_files> read_journal(const std::string& directory, const file_hooks& hooks);

} // namespace tamarack
