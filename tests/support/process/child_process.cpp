#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <thread>
#include <utility>

extern char** environ;

namespace tamarack::testing_support {

namespace {

constexpr std::chrono::milliseconds poll_interval{5};
constexpr mode_t file_mode = 0600;

std::string read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

pid_t spawn(const std::string& program, std::vector<std::string> words, const std::string& output_base) {
    const int create = O_WRONLY | O_CREAT | O_TRUNC;
    const std::string output = output_base + ".out";
    const std::string errors = output_base + ".err";
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), create, file_mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(), create, file_mode);
    // Close inherited descriptors: a socket inherited from the test would stay open after the test closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t id = -1;
    const int failure = posix_spawn(&id, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::system_error{failure, std::generic_category(), program};
    }
    return id;
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             std::string output_base)
    : m_output_base(std::move(output_base)) {
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    m_id = spawn(program, std::move(words), m_output_base);
}

child_process::~child_process() {
    if (poll()) {
        return;
    }
    kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
}

void child_process::send_signal(int signal) const {
    if (!m_end) {
        kill(m_id, signal);
    }
}

std::optional<process_end> child_process::poll() {
    int status = 0;
    if (m_end || waitpid(m_id, &status, WNOHANG) != m_id) {
        return m_end;
    }
    process_end end;
    if (WIFEXITED(status)) {
        end.exit_code = WEXITSTATUS(status);
    } else {
        end.signal = WTERMSIG(status);
    }
    m_end = end;
    return m_end;
}

std::optional<process_end> child_process::wait(std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!poll() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return m_end;
}

std::string child_process::output() const {
    return read_file(m_output_base + ".out");
}

std::string child_process::errors() const {
    return read_file(m_output_base + ".err");
}

std::size_t child_process::peak_memory_kib() const {
    std::ifstream status{"/proc/" + std::to_string(m_id) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

std::size_t child_process::open_descriptors() const {
    std::error_code ended;
    std::filesystem::directory_iterator entries{"/proc/" + std::to_string(m_id) + "/fd", ended};
    return ended ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace tamarack::testing_support
