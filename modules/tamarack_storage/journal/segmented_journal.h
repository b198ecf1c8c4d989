#pragma once

#include "../files/unique_file.h"
#include "journal.h"
#include "journal_reader.h"

#include <optional>
#include <string>

namespace tamarack {

/**
 * Implements the journal with segment files and one snapshot file.
 *
 * After a failed write, the newest segment is cut back to its last synced record before the next one.
 *
 * store() first writes and syncs a new snapshot, if there is one, then appends everything else to the newest
 * segment with one write and one sync. After a crash between the two steps, the segments hold entries that
 * the new snapshot already covers; replay skips them. Segments whose entries are all covered by the snapshot
 * are removed after the sync.
 */
class segmented_journal final : public journal {
public:
    segmented_journal(std::string directory, journal_files found, file_hooks hooks);

    const journal_content& recovered() const override { return m_recovered; }
    outcome<done> store(const journal_write& change) override;
    const std::optional<error>& cleanup_failure() const override { return m_cleanup_failure; }
    std::uint64_t size_on_disk() const override;

private:
    /** @return the index of the last record after a change, or `conflict` if it would leave a gap */
    outcome<std::uint64_t> index_after(const journal_write& change) const;
    outcome<done> discard_failed_write();
    outcome<done> apply(const journal_write& change);
    outcome<done> write_snapshot(const journal_write& change);
    outcome<done> append_records(const journal_write& change);
    outcome<done> create_segment();
    /** Writes the first records of the newest segment. */
    outcome<done> begin_segment();
    void add_record(std::string& bytes, const file_record& record);
    /** The change that is being stored is durable by then, so a failure must not fail it. */
    void remove_covered_files();
    outcome<done> try_remove_covered_files();

    std::string m_directory;
    file_hooks m_hooks;
    journal_content m_recovered;
    std::vector<segment_file> m_segments;
    /** The newest segment, open for appending; closed after the start and after a snapshot. */
    unique_file m_newest_segment;
    std::string m_vote;         ///< repeated in each new segment, since older segments may be removed
    std::uint64_t m_last_index; ///< of the last record, or of the snapshot
    std::uint64_t m_snapshot_index;
    std::uint64_t m_snapshot_bytes;
    bool m_write_failed = false; ///< the newest segment may end with bytes of a failed write
    std::optional<error> m_cleanup_failure;
};

} // namespace tamarack
