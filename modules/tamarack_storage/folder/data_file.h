#pragma once

#include "../journal/journal.h"
#include "data_folder.h"

#include <string>
#include <string_view>

namespace tamarack {

/**
 * Reads a small file that replace_data_file wrote to a data folder.
 *
 * @param folder  an opened folder
 * @param name    the file's name in it
 * @return its whole content; empty when there is no such file; an error when it can't be read
 */
outcome<std::string> read_data_file(const opened_folder& folder, const std::string& name);

/**
 * Replaces a small file of a data folder as a whole: after a loss of power either the old or the new content
 * is there. Waits for the disk.
 *
 * @param folder   an opened folder
 * @param name     the file's name in it; not one that the folder or the journal uses
 * @param content  the new content
 * @param hooks    how files are written and synced
 */
outcome<done> replace_data_file(const opened_folder& folder, const std::string& name,
                                std::string_view content, const file_hooks& hooks);

} // namespace tamarack
