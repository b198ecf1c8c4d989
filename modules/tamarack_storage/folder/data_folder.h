#pragma once

#include <tamarack_base/tamarack_base.h>

#include <memory>
#include <string>

namespace tamarack {

class folder_lock;

/** What was found in a data folder. */
enum class folder_condition {
    fresh,   ///< was empty: a new incarnation has been drawn and synced
    intact,  ///< made here before, whole
    copied,  ///< made elsewhere or put back from a copy: its state may be old
    damaged, ///< a record other than a torn tail fails its checksum
};

template <>
struct name_table<folder_condition> {
    static constexpr std::array<std::pair<folder_condition, std::string_view>, 4> entries{{
        {folder_condition::fresh, "fresh"},
        {folder_condition::intact, "intact"},
        {folder_condition::copied, "copied"},
        {folder_condition::damaged, "damaged"},
    }};
};

/** Identity kept in a data folder. */
struct folder_identity {
    host_id host;
    incarnation_id incarnation;
};

/** An opened data folder. */
struct opened_folder {
    std::string path;
    folder_identity identity;
    folder_condition condition = folder_condition::fresh;
    std::shared_ptr<const folder_lock> lock; ///< the folder stays locked while a copy of this lives
};

/** Whether a folder that was put back from a copy is looked for. */
enum class copy_check {
    by_file_marks, ///< by inode number and time of birth
    none,          ///< the file system does not keep them over a restart
};

/**
 * Opens a data folder for one daemon, and locks it against a second.
 *
 * The identity file records its own fingerprint (inode number and creation time). Copying a file does not
 * preserve these, so a folder restored from a copy is detected.
 *
 * Note: use a local file system whose inode numbers persist across a remount (ext4, XFS), and move data
 * folders to another disk one host at a time.
 *
 * @param path    an existing folder
 * @param host    the name that the identity must carry
 * @param random  draws the incarnation of a fresh folder
 * @param check   whether a copy is looked for
 * @return the folder, or an error when it belongs to another host, is locked or can't be written
 */
outcome<opened_folder> open_data_folder(const std::string& path, const host_id& host, random_source& random,
                                        copy_check check = copy_check::by_file_marks);

/**
 * Sets aside what a folder holds and begins a new incarnation in it.
 *
 * The old content is kept under `set-aside/` for inspection; only the newest one is kept.
 *
 * @param folder  an opened folder, whatever its condition
 * @param random  draws the new incarnation
 * @return the folder, now fresh
 */
outcome<opened_folder> renew_data_folder(const opened_folder& folder, random_source& random);

} // namespace tamarack
