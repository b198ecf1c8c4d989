#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace tamarack {

/** A temporary folder for one test, removed by the destructor. */
class temporary_folder {
public:
    temporary_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "tamarack-XXXXXX").string();
        m_path = ::mkdtemp(name.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;

    std::string data() const { return (m_path / "data").string(); }
    std::string other() const { return (m_path / "other").string(); }

private:
    std::filesystem::path m_path;
};

} // namespace tamarack
