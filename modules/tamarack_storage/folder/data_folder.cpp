#include "data_folder.h"

#include "../files/file_operations.h"
#include "folder_lock.h"

#include <algorithm>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sstream>
#include <sys/file.h>

namespace tamarack {

namespace {

namespace files = std::filesystem;

constexpr const char* identity_name = "identity";
constexpr const char* set_aside_name = "set-aside";
constexpr const char* lost_and_found = "lost+found";

/** Content of the identity file. */
struct identity_record {
    folder_identity identity;
    file_fingerprint fingerprint;
};

std::string identity_text(const identity_record& record) {
    std::ostringstream text;
    text << record.identity.incarnation.value << ' ' << record.fingerprint.inode << ' '
         << record.fingerprint.birth_time_ns << ' ' << record.identity.host.value();
    return text.str();
}

std::string with_checksum(const std::string& text) {
    return std::to_string(stable_hash(text)) + ' ' + text + '\n';
}

std::optional<identity_record> parse_identity(const std::string& content) {
    std::istringstream stream{content};
    std::uint64_t checksum = 0;
    identity_record record;
    std::string host;
    stream >> checksum >> record.identity.incarnation.value >> record.fingerprint.inode >>
        record.fingerprint.birth_time_ns;
    stream.ignore(1);
    if (!std::getline(stream, host)) {
        return std::nullopt;
    }
    record.identity.host = host_id{host};
    if (stable_hash(identity_text(record)) != checksum || content != with_checksum(identity_text(record))) {
        return std::nullopt;
    }
    return record;
}

/** Writes a new identity file that records its own fingerprint. */
outcome<done> write_identity(const std::string& folder, const folder_identity& identity) {
    const file_hooks hooks = system_file_hooks();
    const std::string final_path = folder + "/" + identity_name;
    const std::string temporary = final_path + ".tmp";
    auto file = create_file(temporary);
    if (!succeeded(file)) {
        return error_of(file);
    }
    const auto fingerprint = fingerprint_of(value_of(file), temporary);
    if (!succeeded(fingerprint)) {
        return error_of(fingerprint);
    }
    const std::string content = with_checksum(identity_text({identity, value_of(fingerprint)}));
    if (auto written = write_all(value_of(file), content, hooks, temporary); !succeeded(written)) {
        return written;
    }
    if (hooks.sync(value_of(file).descriptor()) != 0) {
        return system_error("can't sync", temporary);
    }
    std::error_code failure;
    files::rename(temporary, final_path, failure);
    if (failure) {
        return error{error_code::input_output, "can't rename " + temporary + ": " + failure.message()};
    }
    return sync_directory(folder, hooks);
}

outcome<std::shared_ptr<const folder_lock>> lock_folder(const std::string& path) {
    unique_file directory{::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (!directory.is_open()) {
        return system_error("can't open the data folder", path);
    }
    if (::flock(directory.descriptor(), LOCK_EX | LOCK_NB) != 0) {
        return error{error_code::conflict, "the data folder " + path + " is in use by another process"};
    }
    return std::make_shared<const folder_lock>(std::move(directory));
}

/** @return whether a folder holds at most a temporary identity file, content set aside and lost+found */
bool is_unused(const std::vector<std::string>& names) {
    return std::ranges::all_of(names, [](const std::string& name) {
        return name == set_aside_name || name == std::string{identity_name} + ".tmp" ||
               name == lost_and_found;
    });
}

outcome<opened_folder> begin_incarnation(opened_folder folder, random_source& random) {
    folder.condition = folder_condition::fresh;
    do {
        folder.identity.incarnation = incarnation_id{random.next()};
    } while (folder.identity.incarnation.value == 0);
    if (auto written = write_identity(folder.path, folder.identity); !succeeded(written)) {
        return error_of(written);
    }
    return folder;
}

outcome<opened_folder> check_identity(opened_folder folder, copy_check check) {
    const std::string path = folder.path + "/" + identity_name;
    const unique_file file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (!file.is_open()) {
        folder.condition = folder_condition::damaged;
        return folder;
    }
    const auto content = read_file(path);
    const auto fingerprint = fingerprint_of(file, path);
    if (!succeeded(content) || !succeeded(fingerprint)) {
        return succeeded(content) ? error_of(fingerprint) : error_of(content);
    }
    const auto record = parse_identity(value_of(content));
    if (!record) {
        folder.condition = folder_condition::damaged;
        return folder;
    }
    if (record->identity.host != folder.identity.host) {
        return error{error_code::conflict, "the data folder " + folder.path + " belongs to the host " +
                                               record->identity.host.value()};
    }
    folder.identity = record->identity;
    const bool same = check == copy_check::none || record->fingerprint == value_of(fingerprint);
    folder.condition = same ? folder_condition::intact : folder_condition::copied;
    return folder;
}

outcome<done> set_content_aside(const std::string& path) {
    const auto names = list_directory(path);
    if (!succeeded(names)) {
        return error_of(names);
    }
    const files::path aside = files::path{path} / set_aside_name;
    std::error_code failure;
    files::remove_all(aside, failure);
    if (!failure) {
        files::create_directory(aside, failure);
    }
    for (const std::string& name : value_of(names)) {
        if (!failure && name != set_aside_name && name != lost_and_found) {
            files::rename(files::path{path} / name, aside / name, failure);
        }
    }
    if (failure) {
        return error{error_code::input_output,
                     "can't set aside the content of " + path + ": " + failure.message()};
    }
    return sync_directory(path, system_file_hooks());
}

} // namespace

outcome<opened_folder> open_data_folder(const std::string& path, const host_id& host, random_source& random,
                                        copy_check check) {
    auto lock = lock_folder(path);
    if (!succeeded(lock)) {
        return error_of(lock);
    }
    opened_folder folder{path, {host, {}}, folder_condition::fresh, value_of(std::move(lock))};
    const auto names = list_directory(path);
    if (!succeeded(names)) {
        return error_of(names);
    }
    if (is_unused(value_of(names))) {
        return begin_incarnation(std::move(folder), random);
    }
    return check_identity(std::move(folder), check);
}

outcome<opened_folder> renew_data_folder(const opened_folder& folder, random_source& random) {
    if (const auto moved = set_content_aside(folder.path); !succeeded(moved)) {
        return error_of(moved);
    }
    return begin_incarnation(folder, random);
}

} // namespace tamarack
