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

/** The log lines of one request and the services that it involved. */
struct request_trace {
    std::vector<std::string> lines;
    std::set<std::string> asked;     ///< services that the request was sent to
    std::set<std::string> completed; ///< services of which a target completed it
};

void read_trace(std::istream& input, const std::string& id, request_trace& trace,
                std::vector<std::string>& changes) {
    std::string line;
    while (std::getline(input, line)) {
        if (line.find(" target_changed ") != std::string::npos) {
            changes.push_back(line);
        }
        if (value_of_key(line, "request") != id) {
            continue;
        }
        trace.lines.push_back(line);
        const std::string service = value_of_key(line, "service");
        if (!service.empty()) {
            trace.asked.insert(service);
        }
        if (value_of_key(line, "step") == "reply" && value_of_key(line, "result") == "completed") {
            trace.completed.insert(service);
        }
    }
}

exit_code explain(const invocation& values) {
    const std::string& id = values.arguments.front();
    request_trace trace;
    std::vector<std::string> changes;
    if (values.arguments.size() == 1) {
        read_trace(std::cin, id, trace, changes);
    }
    for (std::size_t index = 1; index < values.arguments.size(); ++index) {
        std::ifstream file{values.arguments[index]};
        if (!file) {
            report_error(values, "usage", "can't read " + values.arguments[index]);
            return exit_code::usage;
        }
        read_trace(file, id, trace, changes);
    }
    if (trace.lines.empty()) {
        report_error(values, "not_found",
                     "no log line found for request " + id +
                         ": it succeeded and was not sampled, or no host received it");
        return exit_code::refused;
    }
    for (const std::string& line : trace.lines) {
        std::cout << line << "\n";
    }
    std::size_t printed = 0;
    for (const std::string& line : changes) {
        const std::string service = value_of_key(line, "service");
        const bool silent = trace.asked.contains(service) && !trace.completed.contains(service);
        if (silent && printed++ < max_target_lines) {
            std::cout << line << "\n";
        }
    }
    return exit_code::done;
}

} // namespace

std::vector<command> log_commands() {
    command explained;
    explained.words = "explain";
    explained.arguments = "REQUEST-ID [FILE ...]";
    explained.min_arguments = 1;
    explained.max_arguments = 1'000;
    explained.help = "Prints the log lines of one request, from files or standard input, and "
                     "the state changes of the\n"
                     "targets of services that did not reply.";
    explained.run = explain;
    return {explained};
}

} // namespace tamarack::ctl
