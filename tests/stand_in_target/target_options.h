#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::stand_in {

/** An index version that the target serves; "version@map" on the command line. */
struct held_version {
    std::string version;
    std::string map;
};

/** Start-up options of a stand-in target. */
struct target_options {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    std::vector<std::string> entry_hosts; ///< callers' addresses of the hosts that it first announces to
    std::string name;
    std::string service;
    std::string shard;
    std::uint32_t replica = 0;
    std::string data_center = "dc-a";
    std::vector<held_version> versions;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    std::chrono::microseconds service_time{2'000};
    double straggler_share = 0.0;   ///< share of exchanges that take longer
    double straggler_factor = 10.0; ///< slowdown factor of these exchanges
    std::chrono::microseconds connection_cost{};
    std::chrono::milliseconds start_time{}; ///< time during which it announces the state "starting"
    std::chrono::milliseconds report_lag{}; ///< age of the load figures that it reports
    std::size_t shed_above = 50;            ///< queue length above which it refuses exchanges
    std::string crash_on;                   ///< a request whose body contains this text crashes the process
    std::uint64_t seed = 1;
};

/** @return the options, or std::nullopt after printing help or an error; `exit_code` is then set */
std::optional<target_options> read_options(int argument_count, const char* const* arguments, int& exit_code);

/** @return the version and map of "version@map", or std::nullopt */
std::optional<held_version> parse_version(const std::string& text);

} // namespace tamarack::stand_in
