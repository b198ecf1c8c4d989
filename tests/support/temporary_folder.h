#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace tamarack {

/** A new empty folder for one test; removed with its contents on destruction. */
class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "tamarack-test-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }

    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;

    const std::filesystem::path& path() const { return m_path; }

    /** Writes a file into the folder. @return the file's path */
    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream{m_path / name} << text;
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace tamarack
