#include "target_options.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace tamarack::stand_in {

namespace {

namespace po = boost::program_options;

constexpr int usage_error = 2;

/** Option values that are converted after the command line has been parsed. */
struct raw_values {
    std::vector<std::string> versions;
    double service_ms = 2.0;
    double connection_ms = 0.0;
    std::int64_t start_ms = 0;
    std::int64_t lag_ms = 0;
};

po::options_description describe_options(target_options& options, raw_values& raw) {
    po::options_description description{"stand_in_target: a replica of one shard, for tests and the demo"};
    auto add = description.add_options();
    add("help", "print this help");
    add("ip", po::value(&options.ip), "IP address to listen on");
    add("port", po::value(&options.port), "port to listen on; 0 selects a free one");
    add("entry-host", po::value(&options.entry_hosts)->composing(),
        "callers' address of a host to announce to");
    add("name", po::value(&options.name)->required(), "name of the target");
    add("service", po::value(&options.service)->required(), "service");
    add("shard", po::value(&options.shard)->required(), "shard");
    add("replica", po::value(&options.replica), "ordinal of the replica within the shard");
    add("data-center", po::value(&options.data_center), "data centre");
    add("index-version", po::value(&raw.versions)->composing()->required(), "version@map, newest last");
    add("slots", po::value(&options.slots), "maximum concurrent exchanges");
    add("connections", po::value(&options.connections), "maximum open connections");
    add("service-ms", po::value(&raw.service_ms), "service time");
    add("straggler-share", po::value(&options.straggler_share), "share of slow exchanges");
    add("straggler-factor", po::value(&options.straggler_factor), "slowdown factor of slow exchanges");
    add("connection-ms", po::value(&raw.connection_ms), "set-up time of a new connection");
    add("start-ms", po::value(&raw.start_ms), "time in the state \"starting\"");
    add("report-lag-ms", po::value(&raw.lag_ms), "age of the reported load");
    add("shed-above", po::value(&options.shed_above), "queue length above which it refuses exchanges");
    add("crash-on", po::value(&options.crash_on), "crash on a request that contains this text");
    add("seed", po::value(&options.seed), "seed of the random service times");
    return description;
}

bool convert(const raw_values& raw, target_options& options) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    for (const std::string& text : raw.versions) {
        const auto version = parse_version(text);
        if (!version) {
            std::cerr << "stand_in_target: --index-version must have the form version@map: \"" << text
                      << "\"\n";
            return false;
        }
        options.versions.push_back(*version);
    }
    options.service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(milliseconds{raw.service_ms});
    options.connection_cost =
        std::chrono::duration_cast<std::chrono::microseconds>(milliseconds{raw.connection_ms});
    options.start_time = std::chrono::milliseconds{raw.start_ms};
    options.report_lag = std::chrono::milliseconds{raw.lag_ms};
    return true;
}

} // namespace

std::optional<held_version> parse_version(const std::string& text) {
    const std::size_t at = text.find('@');
    if (at == std::string::npos || at == 0 || at + 1 == text.size()) {
        return std::nullopt;
    }
    return held_version{text.substr(0, at), text.substr(at + 1)};
}

std::optional<target_options> read_options(int argument_count, const char* const* arguments, int& exit_code) {
    target_options options;
    raw_values raw;
    const po::options_description description = describe_options(options, raw);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argument_count, arguments, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            exit_code = 0;
            return std::nullopt;
        }
        po::notify(values);
    } catch (const po::error& failure) {
        std::cerr << "stand_in_target: " << failure.what() << '\n';
        exit_code = usage_error;
        return std::nullopt;
    }
    if (!convert(raw, options)) {
        exit_code = usage_error;
        return std::nullopt;
    }
    return options;
}

} // namespace tamarack::stand_in
