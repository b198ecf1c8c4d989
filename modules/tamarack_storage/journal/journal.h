#pragma once

#include "../folder/data_folder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/** One record of a journal: a position and opaque content. */
struct journal_record {
    std::uint64_t index = 0; ///< grows by one from record to record
    std::string content;

    bool operator==(const journal_record&) const = default;
};

/** Everything that a journal held when it was opened. */
struct journal_content {
    std::string vote; ///< last stored vote, empty when none
    std::uint64_t snapshot_index = 0;
    std::string snapshot;                ///< empty when none
    std::vector<journal_record> records; ///< those after the snapshot, in order
    bool damaged = false;        ///< a record in the middle fails its checksum; what precedes it is given
    bool tail_truncated = false; ///< a torn record at the end was cut off
};

/** One change to a journal; its parts are applied in the order of the members, then synced once. */
struct journal_write {
    std::string vote;                    ///< replaces the stored vote unless empty
    std::uint64_t truncate_from = 0;     ///< removes records from this index on; 0 removes none
    std::vector<journal_record> records; ///< appended
    std::uint64_t snapshot_index = 0;    ///< records up to here may be dropped once the snapshot is stored
    std::string snapshot;                ///< replaces the stored snapshot unless empty
};

/** Replaceable system calls, so that tests bring about full disks and failed syncs. */
struct file_hooks {
    std::function<long(int file, const void* data, std::size_t size)> write;
    std::function<int(int file)> sync;
};

/** @return hooks that call the system */
file_hooks system_file_hooks();

/**
 * A journal in segments under a data folder, each record with its length and checksum.
 *
 * After a failed write or sync the journal refuses everything further: what the disk holds is then unknown
 * until the journal is opened anew.
 */
class journal {
public:
    virtual ~journal() = default;

    /** @return what was found when the journal was opened */
    virtual const journal_content& recovered() const = 0;

    /**
     * Applies a change and syncs it.
     *
     * @param change  the change
     * @return done once it would survive a loss of power, or the error that closed the journal
     */
    virtual outcome<done> store(const journal_write& change) = 0;

    /** @return bytes that the journal's files take */
    virtual std::uint64_t size_on_disk() const = 0;
};

/**
 * Opens the journal of a data folder, and makes its first file in a fresh one.
 *
 * A journal whose files are missing from a folder that is not fresh is damaged.
 *
 * @param folder  an opened folder
 * @param hooks   system calls
 * @return the journal, or an error when its files can't be read
 */
outcome<std::unique_ptr<journal>> open_journal(const opened_folder& folder, file_hooks hooks);

} // namespace tamarack
