#pragma once

#include "../files/unique_file.h"

namespace tamarack {

/** Holds the lock of a data folder until destroyed. No second daemon can open the folder meanwhile. */
class folder_lock {
public:
    /** @param directory  an open, locked directory */
    explicit folder_lock(unique_file directory) : m_directory(std::move(directory)) {}

private:
    unique_file m_directory;
};

} // namespace tamarack
