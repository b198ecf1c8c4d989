#include "command_line.h"
#include "commands/commands.h"

#include <exception>
#include <iostream>

namespace tamarack::ctl {

namespace {

exit_code run(const std::vector<std::string>& arguments) {
    const std::vector<command> commands = all_commands();
    const auto line = parse_line(arguments, commands);
    if (!succeeded(line)) {
        std::cerr << "tamarackctl: " << error_of(line) << "\nSee tamarackctl --help.\n";
        return exit_code::usage;
    }
    const auto& [chosen, values] = value_of(line);
    if (chosen == nullptr) {
        std::cout << general_help(commands);
        return exit_code::done;
    }
    if (values.help) {
        std::cout << command_help(*chosen);
        return exit_code::done;
    }
    return chosen->run(values);
}

} // namespace

} // namespace tamarack::ctl

int main(int argument_count, char** arguments) {
    try {
        const std::vector<std::string> words{arguments + 1, arguments + argument_count};
        return static_cast<int>(tamarack::ctl::run(words));
    } catch (const std::exception& failure) {
        std::cerr << "tamarackctl: " << failure.what() << '\n';
        return static_cast<int>(tamarack::ctl::exit_code::usage);
    }
}
