#include "host_daemon.h"
#include "process_memory.h"

#include <tamarack_platform.h>

#include <boost/program_options.hpp>

#include <csignal>
#include <ctime>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include <unistd.h>

namespace {

namespace options = boost::program_options;
using namespace tamarack;

constexpr int exit_success = 0;
constexpr int exit_failed_start = 1;
constexpr int exit_bad_settings = 2;
constexpr int exit_unfinished_requests = 3;
/** A changed settings file takes effect within this time, even without SIGHUP. */
constexpr time_t settings_poll_seconds = 1;

struct command_line {
    std::string settings_file;
    bool check_only = false;
    std::optional<int> exit_code; ///< set if the process is to exit at once
};

command_line read_command_line(int count, char** values) {
    options::options_description description{"tamarackd: one host of the query tier"};
    auto add = description.add_options();
    add("help,h", "show this help");
    add("settings,s", options::value<std::string>(), "the settings file (INI)");
    add("check-settings", "check the settings, print every mistake, and exit with 0 or 2");
    command_line line;
    try {
        options::variables_map given;
        options::store(options::parse_command_line(count, values, description), given);
        if (given.count("help") > 0) {
            std::cout << description;
            line.exit_code = exit_success;
            return line;
        }
        if (given.count("settings") == 0) {
            std::cerr << "tamarackd: --settings FILE is needed; --help shows all options\n";
            line.exit_code = exit_bad_settings;
            return line;
        }
        line.settings_file = given["settings"].as<std::string>();
        line.check_only = given.count("check-settings") > 0;
    } catch (const options::error& mistake) {
        std::cerr << "tamarackd: " << mistake.what() << "; --help shows all options\n";
        line.exit_code = exit_bad_settings;
    }
    return line;
}

sigset_t block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

std::string content_of(const std::string& path) {
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Reloads the settings file. A file with mistakes is ignored. */
void reload(host_daemon& host, const std::string& path, std::string& known) {
    std::string content = content_of(path);
    if (content == known) {
        log_state_change(log_level::info, "settings_unchanged", {}, {});
        return;
    }
    known = std::move(content);
    const auto read = read_settings_file(path);
    if (!succeeded(read)) {
        for (const settings_mistake& mistake : error_of(read)) {
            log_state_change(log_level::error, "settings_refused", {}, {{"mistake", describe(mistake)}});
        }
        return;
    }
    host.apply(value_of(read));
    log_state_change(log_level::info, "settings_reloaded", {}, {});
}

/** Waits for a signal to stop. Meanwhile reloads the settings file on SIGHUP, and when it has changed. */
void wait_for_stop(const sigset_t& signals, host_daemon& host, const std::string& path) {
    std::string known = content_of(path);
    while (true) {
        const timespec interval{settings_poll_seconds, 0};
        const int received = sigtimedwait(&signals, nullptr, &interval);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        if (received == SIGHUP || content_of(path) != known) {
            reload(host, path, known);
        }
    }
}

/** Waits for another stop signal. @return whether one arrived within the limit */
bool wait_for_signal(const sigset_t& signals, duration limit) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const auto remaining_nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(limit - seconds);
    timespec wait{};
    wait.tv_sec = seconds.count();
    wait.tv_nsec = remaining_nanoseconds.count();
    const int received = sigtimedwait(&signals, nullptr, &wait);
    return received == SIGTERM || received == SIGINT;
}

/** Writes the line at once, as the log's thread writes to the same stream. */
void print_addresses(const daemon_addresses& addresses) {
    std::cout << "listening callers=" + addresses.callers.value() +
                     " operators=" + addresses.operators.value() + " hosts=" + addresses.hosts.value() + "\n"
              << std::flush;
}

/** Shuts down gracefully. A second signal ends the wait for cached directory answers to expire. */
int shut_down(host_daemon& host, const settings& host_settings, const sigset_t& signals) {
    log_state_change(log_level::info, "draining", {}, {});
    host.leave_directory();
    if (host_settings.role != host_role::control) {
        wait_for_signal(signals, host_settings.times.directory_keep + directory_margin);
    }
    const bool finished = host.finish_requests(host_settings.times.drain_limit);
    host.stop();
    log_state_change(log_level::info, "stopped", {}, {{"finished", finished ? "true" : "false"}});
    return finished ? exit_success : exit_unfinished_requests;
}

int serve(const settings& host_settings, const std::string& path, const sigset_t& signals) {
    host_daemon host{host_settings, [] { ::kill(::getpid(), SIGTERM); }, platform_edge()};
    const auto started = host.start();
    if (!succeeded(started)) {
        std::cerr << "tamarackd: " << error_of(started).message << "\n";
        return exit_failed_start;
    }
    print_addresses(value_of(started));
    log_state_change(log_level::info, "started", {},
                     {{"role", std::string{to_name(host_settings.role)}},
                      {"first_start", host_settings.formation.first_start ? "true" : "false"},
                      {"switched_off", host_settings.forwarding.mechanisms.off()}});
    wait_for_stop(signals, host, path);
    return shut_down(host, host_settings, signals);
}

int run(const settings& host_settings, const std::string& path) {
    const bool shares_arena = share_one_arena();
    const sigset_t signals = block_stop_signals();
    start_state_log(host_settings.host);
    if (!shares_arena) {
        log_state_change(log_level::warning, "arenas_not_limited", {}, {});
    }
    start_log_writer();
    const int code = serve(host_settings, path, signals);
    stop_log_writer();
    return code;
}

int check_and_run(int count, char** values) {
    const command_line line = read_command_line(count, values);
    if (line.exit_code) {
        return *line.exit_code;
    }
    const auto read = read_settings_file(line.settings_file);
    if (!succeeded(read)) {
        for (const settings_mistake& mistake : error_of(read)) {
            std::cerr << describe(mistake) << "\n";
        }
        return exit_bad_settings;
    }
    if (line.check_only) {
        std::cout << "the settings are valid\n";
        return exit_success;
    }
    return run(value_of(read), line.settings_file);
}

} // namespace

int main(int count, char** values) {
    try {
        return check_and_run(count, values);
    } catch (const std::exception& failure) {
        std::cerr << "tamarackd: " << failure.what() << "\n";
        return exit_failed_start;
    }
}
