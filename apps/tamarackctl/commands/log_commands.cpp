#include "commands.h"

#include "../report.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace tamarack::ctl {

namespace {

/** Maximum number of printed lines about targets of services that did not reply. */
constexpr std::size_t max_target_lines = 20;

/** @return the value of a key in a structured log line, or an empty string */
std::string value_of_key(const std::string& line, const std::string& key) {
    const std::string start = " " + key + "=";
    const auto begin = line.find(start);
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + start.size();
    return line.substr(value, line.find(' ', value) - value);
}

/** The log lines of one request. */
struct request_lines {
    std::vector<std::string> lines;
    std::set<std::string> asked;     ///< services named in the lines
    std::set<std::string> completed; ///< services that replied
};

void collect_lines(std::istream& input, const std::string& id, request_lines& found,
                   std::vector<std::string>& changes) {
    std::string line;
    while (std::getline(input, line)) {
        if (line.find(" target_changed ") != std::string::npos) {
            changes.push_back(line);
        }
        if (value_of_key(line, "request") != id) {
            continue;
        }
        found.lines.push_back(line);
        const std::string service = value_of_key(line, "service");
        if (!service.empty()) {
            found.asked.insert(service);
        }
        if (value_of_key(line, "step") == "reply" && value_of_key(line, "result") == "completed") {
            found.completed.insert(service);
        }
    }
}

exit_code explain(const invocation& values) {
    const std::string& id = values.arguments.front();
    request_lines found;
    std::vector<std::string> changes;
    if (values.arguments.size() == 1) {
        collect_lines(std::cin, id, found, changes);
    }
    for (std::size_t index = 1; index < values.arguments.size(); ++index) {
        std::ifstream file{values.arguments[index]};
        if (!file) {
            report_error(values, "usage", "can't read " + values.arguments[index]);
            return exit_code::usage;
        }
        collect_lines(file, id, found, changes);
    }
    if (found.lines.empty()) {
        report_error(values, "not_found",
                     "no log line mentions request " + id +
                         ": it succeeded and was not sampled, or no host received it");
        return exit_code::refused;
    }
    for (const std::string& line : found.lines) {
        std::cout << line << "\n";
    }
    std::size_t printed = 0;
    for (const std::string& line : changes) {
        const std::string service = value_of_key(line, "service");
        const bool unanswered = found.asked.contains(service) && !found.completed.contains(service);
        if (unanswered && printed++ < max_target_lines) {
            std::cout << line << "\n";
        }
    }
    return exit_code::done;
}

} // namespace

std::vector<command> log_commands() {
    command explain_command;
    explain_command.words = "explain";
    explain_command.arguments = "REQUEST-ID [FILE ...]";
    explain_command.min_arguments = 1;
    explain_command.max_arguments = 1'000;
    explain_command.help =
        "Prints the lines of the hosts' logs, from files or standard input, about one request, and "
        "what happened to the\n"
        "targets of the services that did not reply.";
    explain_command.run = explain;
    return {explain_command};
}

} // namespace tamarack::ctl
