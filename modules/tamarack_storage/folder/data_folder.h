#pragma once

#include <tamarack_base/tamarack_base.h>

#include <memory>
#include <string>

namespace tamarack {

class folder_lock;

/** State of a data folder when it was opened. */
enum class folder_condition {
    fresh,   ///< was empty; a new incarnation has been generated and synced
    intact,  ///< created here earlier, and undamaged
    copied,  ///< created elsewhere or restored from a copy; its state may be out of date
    damaged, ///< the identity file is missing or fails its checksum
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

/** Identity stored in a data folder. */
struct folder_identity {
    host_id host;
    incarnation_id incarnation;
};

/** An opened data folder. */
struct opened_folder {
    std::string path;
    folder_identity identity;
    folder_condition condition = folder_condition::fresh;
    std::shared_ptr<const folder_lock> lock; ///< the folder stays locked while a copy of this exists
};

/** How a folder that was restored from a copy is detected. */
enum class copy_check {
    by_file_fingerprint, ///< by the inode number and creation time of the identity file
    none,                ///< not at all; for file systems that change these attributes on a restart
};

/**
 * Opens a data folder for one daemon, and locks it against use by a second one.
 *
 * The identity file records its own fingerprint (inode number and creation time). Copying a file does not
 * preserve these, so a folder restored from a copy is detected.
 *
 * Note: use a local file system whose inode numbers persist across a remount (ext4, XFS), and move data
 * folders to another disk one host at a time.
 *
 * @param path    an existing folder
 * @param host    the host name that the stored identity must have
 * @param random  generates the incarnation of a fresh folder
 * @param check   how a copy is detected
 * @return the folder, or an error when it belongs to another host, is locked or can't be written
 */
outcome<opened_folder> open_data_folder(const std::string& path, const host_id& host, random_source& random,
                                        copy_check check = copy_check::by_file_fingerprint);

/**
 * Moves the content of a folder to its subfolder `set-aside/` and starts a new incarnation in the folder.
 *
 * The old content is kept for inspection; it replaces what an earlier renewal set aside.
 *
 * @param folder  an opened folder in any condition
 * @param random  generates the new incarnation
 * @return the folder, now fresh
 */
outcome<opened_folder> renew_data_folder(const opened_folder& folder, random_source& random);

} // namespace tamarack
