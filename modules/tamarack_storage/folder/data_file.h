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
 * Atomically replaces a small file of a data folder: after a loss of power the file has either its old or its
 * new content. Blocks until the new content is synced.
 *
 * @param folder   an opened folder
 * @param name     the file's name in it; must differ from those that the folder and the journal use
 * @param content  the new content
 * @param hooks    system calls that write and sync the file
 */
outcome<done> replace_data_file(const opened_folder& folder, const std::string& name,
                                std::string_view content, const file_hooks& hooks);

} // namespace tamarack
