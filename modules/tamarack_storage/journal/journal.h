#pragma once

#include "../folder/data_folder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/** One record of a journal: an index and opaque content. */
struct journal_record {
    std::uint64_t index = 0; ///< one greater than that of the previous record
    std::string content;

    bool operator==(const journal_record&) const = default;
};

/** The content of a journal when it was opened. */
struct journal_content {
    std::string vote; ///< last stored vote; empty when there is none
    std::uint64_t snapshot_index = 0;
    std::string snapshot;                ///< empty when none
    std::vector<journal_record> records; ///< records after the snapshot, in order
    bool damaged = false;        ///< a record before the end fails its checksum, or a file is missing or was
                                 ///< replaced; only the content before that place is returned
    bool tail_truncated = false; ///< an incompletely written record at the end was removed
};

/**
 * One change to a journal. The vote, the truncation and the records are applied in this order with one sync;
 * a new snapshot is written and synced before them.
 */
struct journal_write {
    std::string vote;                    ///< replaces the stored vote unless empty
    std::uint64_t truncate_from = 0;     ///< removes records from this index on; 0 removes none
    std::vector<journal_record> records; ///< appended
    std::uint64_t snapshot_index = 0; ///< records up to this index may be removed once the snapshot is stored
    std::string snapshot;             ///< replaces the stored snapshot unless empty
};

/** Replaceable system calls, so that tests can simulate full disks and failed syncs. */
struct file_hooks {
    std::function<long(int file, const void* data, std::size_t size)> write;
    std::function<int(int file)> sync;
};

/** @return hooks that call the operating system */
file_hooks system_file_hooks();

/**
 * A segmented journal in a data folder; each record is stored with its length and checksums.
 *
 * A change that fails, for example because the disk is full, leaves the stored content as it was and can be
 * stored again.
 */
class journal {
public:
    virtual ~journal() = default;

    /** @return the content found when the journal was opened */
    virtual const journal_content& recovered() const = 0;

    /**
     * Applies a change and syncs it.
     *
     * @return done once the change would survive a loss of power; `input_output` if it was not applied and
     * can be stored again; `conflict` if a record doesn't follow the last one; `damaged` if the journal is
     */
    virtual outcome<done> store(const journal_write& change) = 0;

    /** @return why files that the snapshot covers could not be removed, if they are still there; the next
     * store tries again */
    virtual const std::optional<error>& cleanup_failure() const = 0;

    /** @return the total size of the journal's files in bytes */
    virtual std::uint64_t size_on_disk() const = 0;
};

/**
 * Opens the journal of a data folder, and creates its first segment when the folder is fresh.
 *
 * In a folder that is not fresh, a journal without files counts as damaged.
 *
 * @param folder  an opened folder
 * @param hooks   system calls
 * @return the journal, or an error when its files can't be read
 */
outcome<std::unique_ptr<journal>> open_journal(const opened_folder& folder, file_hooks hooks);

} // namespace tamarack
