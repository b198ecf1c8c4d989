#include "data_file.h"

#include "../files/file_operations.h"

#include <algorithm>

namespace tamarack {

outcome<std::string> read_data_file(const opened_folder& folder, const std::string& name) {
    const auto names = list_directory(folder.path);
    if (!succeeded(names)) {
        return error_of(names);
    }
    if (std::ranges::find(value_of(names), name) == value_of(names).end()) {
        return std::string{};
    }
    return read_file(folder.path + "/" + name);
}

outcome<done> replace_data_file(const opened_folder& folder, const std::string& name,
                                std::string_view content, const file_hooks& hooks) {
    return replace_file(folder.path, name, content, hooks);
}

} // namespace tamarack
