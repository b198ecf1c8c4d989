#include "file_operations.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace tamarack {

namespace {

constexpr mode_t owner_only = 0600;

long system_write(int file, const void* data, std::size_t size) {
    return ::write(file, data, size);
}

int system_sync(int file) {
    return ::fsync(file);
}

} // namespace

file_hooks system_file_hooks() {
    return {system_write, system_sync};
}

error system_error(std::string_view operation, const std::string& path) {
    const std::string reason = std::generic_category().message(errno);
    return {error_code::input_output, std::string{operation} + " " + path + ": " + reason};
}

outcome<file_fingerprint> fingerprint_of(const unique_file& file, const std::string& path) {
    struct statx found {};
    if (::statx(file.descriptor(), "", AT_EMPTY_PATH, STATX_INO | STATX_BTIME, &found) != 0) {
        return system_error("can't read the inode number and creation time of", path);
    }
    constexpr std::uint64_t nanoseconds_in_second = 1'000'000'000;
    file_fingerprint fingerprint;
    fingerprint.inode = found.stx_ino;
    if ((found.stx_mask & STATX_BTIME) != 0) {
        const auto seconds = static_cast<std::uint64_t>(found.stx_btime.tv_sec);
        fingerprint.birth_time_ns = seconds * nanoseconds_in_second + found.stx_btime.tv_nsec;
    }
    return fingerprint;
}

outcome<unique_file> create_file(const std::string& path) {
    unique_file file{::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, owner_only)};
    if (!file.is_open()) {
        return system_error("can't create", path);
    }
    return file;
}

outcome<std::string> read_file(const std::string& path) {
    std::ifstream stream{path, std::ios::binary};
    if (!stream) {
        return system_error("can't read", path);
    }
    std::string content{std::istreambuf_iterator<char>{stream}, std::istreambuf_iterator<char>{}};
    if (stream.bad()) {
        return system_error("can't read", path);
    }
    return content;
}

outcome<std::vector<std::string>> list_directory(const std::string& directory) {
    std::vector<std::string> names;
    std::error_code failure;
    std::filesystem::directory_iterator entry{directory, failure};
    while (!failure && entry != std::filesystem::directory_iterator{}) {
        names.push_back(entry->path().filename().string());
        entry.increment(failure);
    }
    if (failure) {
        return error{error_code::input_output, "can't list " + directory + ": " + failure.message()};
    }
    std::ranges::sort(names);
    return names;
}

outcome<done> write_all(const unique_file& file, std::string_view bytes, const file_hooks& hooks,
                        const std::string& path) {
    while (!bytes.empty()) {
        const long written = hooks.write(file.descriptor(), bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return system_error("can't write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return done{};
}

outcome<done> sync_directory(const std::string& path, const file_hooks& hooks) {
    const unique_file directory{::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (!directory.is_open() || hooks.sync(directory.descriptor()) != 0) {
        return system_error("can't sync the directory", path);
    }
    return done{};
}

outcome<done> replace_file(const std::string& directory, const std::string& name, std::string_view bytes,
                           const file_hooks& hooks) {
    const std::string temporary = directory + "/" + name + ".tmp";
    auto file = create_file(temporary);
    if (!succeeded(file)) {
        return error_of(file);
    }
    if (auto written = write_all(value_of(file), bytes, hooks, temporary); !succeeded(written)) {
        return written;
    }
    if (hooks.sync(value_of(file).descriptor()) != 0) {
        return system_error("can't sync", temporary);
    }
    if (::rename(temporary.c_str(), (directory + "/" + name).c_str()) != 0) {
        return system_error("can't rename", temporary);
    }
    return sync_directory(directory, hooks);
}

} // namespace tamarack
