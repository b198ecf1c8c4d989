#include "command_line.h"

#include <boost/make_shared.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace tamarack::ctl {

namespace {

namespace po = boost::program_options;

constexpr std::size_t max_words = 2;

/** Option values in the types that Boost.Program_options parses; convert() copies them to an invocation. */
struct raw_values {
    std::vector<std::string> operators;
    std::vector<std::string> callers;
    std::vector<std::string> words;
    std::string token_file;
    std::string body_file;
    std::uint64_t timeout_ms = 10'000;
    std::uint64_t caller = 0;
    std::uint64_t deadline_ms = 0;
    std::uint64_t issued_at_ms = 0;
    double least_coverage = 0.0;
};

po::options_description common_options(raw_values& raw) {
    po::options_description description{"Options of all commands"};
    auto add = description.add_options();
    add("help,h", "print help and exit");
    add("operators", po::value(&raw.operators)->composing(),
        "operators' address of a host, ip:port; may be repeated, tried in order");
    add("callers", po::value(&raw.callers)->composing(),
        "callers' address of a host, ip:port; may be repeated, tried in order");
    add("json", "print JSON on one line instead of text");
    add("timeout-ms", po::value(&raw.timeout_ms), "time-out of the whole command; default 10000");
    add("token-file", po::value(&raw.token_file), "file with the operator's bearer token");
    return description;
}

po::options_description command_options(raw_values& raw, invocation& values) {
    po::options_description description{"Command-specific options"};
    auto add = description.add_options();
    add("data-center", po::value(&values.data_center), "prefer hosts in this data centre");
    add("caller", po::value(&raw.caller), "caller number, used to spread callers over hosts");
    add("body", po::value(&values.body), "request body");
    add("body-file", po::value(&raw.body_file), "file with the request body");
    add("request-id", po::value(&values.request_id), "request identifier; random by default");
    add("deadline-ms", po::value(&raw.deadline_ms),
        "time limit for the answer; default: that of the service");
    add("least-coverage", po::value(&raw.least_coverage), "minimum share of shards that must answer, 0 to 1");
    add("shard", po::value(&values.shard), "shard that a non-idempotent request is sent to");
    add("key", po::value(&values.key), "idempotency key: the request runs at most once");
    add("issued-at-ms", po::value(&raw.issued_at_ms),
        "when the key was issued, in ms since 1970; default: now; on a resend, give the first time of issue");
    return description;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::string trimmed(const std::string& text) {
    constexpr auto blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

const command* find_command(const std::vector<command>& commands, std::vector<std::string>& words) {
    for (std::size_t count = std::min(max_words, words.size()); count > 0; --count) {
        std::string joined = words[0];
        for (std::size_t index = 1; index < count; ++index) {
            joined += " " + words[index];
        }
        const auto found = std::find_if(commands.begin(), commands.end(),
                                        [&](const command& candidate) { return candidate.words == joined; });
        if (found != commands.end()) {
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
            return &*found;
        }
    }
    return nullptr;
}

std::string check_options(const po::variables_map& given, const po::options_description& own_options,
                          const command& chosen) {
    for (const auto& option : own_options.options()) {
        const std::string& name = option->long_name();
        const auto& allowed = chosen.options;
        if (given.count(name) != 0 && std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            return "--" + name + " is not an option of \"" + chosen.words + "\"";
        }
    }
    return {};
}

std::string check_arguments(const command& chosen, std::size_t count) {
    if (count >= chosen.min_arguments && count <= chosen.max_arguments) {
        return {};
    }
    return "\"" + chosen.words + "\" takes: " + (chosen.arguments.empty() ? "nothing" : chosen.arguments);
}

std::string read_files(const raw_values& raw, invocation& values) {
    if (!raw.token_file.empty()) {
        const auto token = read_file(raw.token_file);
        if (!token) {
            return "can't read the token file " + raw.token_file;
        }
        values.token = trimmed(*token);
    }
    if (!raw.body_file.empty()) {
        const auto body = read_file(raw.body_file);
        if (!body) {
            return "can't read the body file " + raw.body_file;
        }
        values.body = *body;
    }
    return {};
}

template <typename Value>
void set_if_given(const po::variables_map& given, const char* name, Value value, std::optional<Value>& into) {
    if (given.count(name) != 0) {
        into = value;
    }
}

void convert(const po::variables_map& given, const raw_values& raw, invocation& values) {
    for (const std::string& address : raw.operators) {
        values.operators.emplace_back(address);
    }
    for (const std::string& address : raw.callers) {
        values.callers.emplace_back(address);
    }
    values.json = given.count("json") != 0;
    values.help = given.count("help") != 0;
    values.timeout = std::chrono::milliseconds{raw.timeout_ms};
    set_if_given(given, "caller", raw.caller, values.caller);
    set_if_given(given, "deadline-ms", raw.deadline_ms, values.deadline_ms);
    set_if_given(given, "issued-at-ms", raw.issued_at_ms, values.issued_at_ms);
    set_if_given(given, "least-coverage", raw.least_coverage, values.least_coverage);
}

std::variant<parsed_line, std::string> interpret(const po::variables_map& given,
                                                 const po::options_description& own_options, raw_values& raw,
                                                 invocation values, const std::vector<command>& commands) {
    convert(given, raw, values);
    const command* chosen = find_command(commands, raw.words);
    if (chosen == nullptr) {
        if (raw.words.empty() && values.help) {
            return parsed_line{nullptr, std::move(values)};
        }
        return raw.words.empty() ? std::string{"no command given"} : "no command \"" + raw.words[0] + "\"";
    }
    if (values.help) {
        return parsed_line{chosen, std::move(values)};
    }
    values.arguments = raw.words;
    for (std::string problem : {check_options(given, own_options, *chosen),
                                check_arguments(*chosen, values.arguments.size()), read_files(raw, values)}) {
        if (!problem.empty()) {
            return problem;
        }
    }
    return parsed_line{chosen, std::move(values)};
}

} // namespace

std::variant<parsed_line, std::string> parse_line(const std::vector<std::string>& arguments,
                                                  const std::vector<command>& commands) {
    raw_values raw;
    invocation values;
    const po::options_description own_options = command_options(raw, values);
    po::options_description all;
    all.add(common_options(raw)).add(own_options);
    all.add_options()("word", po::value(&raw.words)->composing());
    po::positional_options_description positions;
    positions.add("word", -1);
    po::variables_map given;
    try {
        po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), given);
        po::notify(given);
    } catch (const po::error& failure) {
        return std::string{failure.what()};
    }
    return interpret(given, own_options, raw, std::move(values), commands);
}

std::string general_help(const std::vector<command>& commands) {
    raw_values raw;
    std::ostringstream text;
    text << "Usage: tamarackctl [options] COMMAND ...\n\nCommands (each with --help):\n";
    for (const command& candidate : commands) {
        text << "  " << candidate.words << (candidate.arguments.empty() ? "" : " ") << candidate.arguments
             << '\n';
    }
    text << '\n'
         << common_options(raw)
         << "\nExit codes: 0 done, 1 refused by the daemon, 2 wrong usage, 3 no address answered,\n"
            "4 no leader or no ticket known yet, 5 unknown whether it was executed, 6 partial answer.\n";
    return text.str();
}

std::string command_help(const command& described) {
    raw_values raw;
    invocation values;
    std::ostringstream text;
    text << "Usage: tamarackctl [options] " << described.words << (described.arguments.empty() ? "" : " ")
         << described.arguments << "\n\n"
         << described.help << "\n\n";
    po::options_description own{"Options of this command"};
    const po::options_description own_options = command_options(raw, values);
    for (const std::string& name : described.options) {
        own.add(boost::make_shared<po::option_description>(own_options.find(name, false)));
    }
    if (!described.options.empty()) {
        text << own << '\n';
    }
    text << common_options(raw);
    return text.str();
}

} // namespace tamarack::ctl
