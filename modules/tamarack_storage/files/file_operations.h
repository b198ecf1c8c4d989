#pragma once

#include "../journal/journal.h"
#include "unique_file.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/** @return an input_output error that names the failed operation, the file and the system's reason (errno) */
error system_error(std::string_view operation, const std::string& path);

/** Attributes that the file system assigns to each new file. A copy of a file has different ones. */
struct file_fingerprint {
    std::uint64_t inode = 0;
    std::uint64_t birth_time_ns = 0; ///< creation time; 0 when the file system does not record it

    bool operator==(const file_fingerprint&) const = default;
};

/** @return the fingerprint of an open file, or an input_output error */
outcome<file_fingerprint> fingerprint_of(const unique_file& file, const std::string& path);

/** Creates a file for writing, or empties an existing one. @return the open file */
outcome<unique_file> create_file(const std::string& path);

/** @return the whole content of a file */
outcome<std::string> read_file(const std::string& path);

/** @return the names of a directory's entries, sorted */
outcome<std::vector<std::string>> list_directory(const std::string& directory);

/** Writes all bytes at the file's current position. */
outcome<done> write_all(const unique_file& file, std::string_view bytes, const file_hooks& hooks,
                        const std::string& path);

/** Syncs a directory, so that the creation, renaming and removal of files in it survive a loss of power. */
outcome<done> sync_directory(const std::string& path, const file_hooks& hooks);

/**
 * Writes a file under a temporary name, syncs it, renames it and syncs its directory.
 *
 * @param directory  an existing directory
 * @param name       the file's final name
 * @param bytes      the whole content
 */
outcome<done> replace_file(const std::string& directory, const std::string& name, std::string_view bytes,
                           const file_hooks& hooks);

} // namespace tamarack
