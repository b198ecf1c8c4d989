#include "settings_checks.h"

#include "../parsing/value_parsers.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

constexpr int min_heartbeats_per_election_timeout = 3;
constexpr int min_renewals_per_lease = 2;
constexpr std::size_t max_control_hosts = 7;

bool has_control_role(host_role role) {
    return role != host_role::entry;
}

bool has_fixed_port(const endpoint& address) {
    const auto parts = parse_address(address.value());
    return parts && parts->port != 0;
}

void check_listen(settings_source& source, const settings& value) {
    const auto overlap = [&](const char* key, const endpoint& address, const char* other_key,
                             const endpoint& other) {
        if (has_fixed_port(address) && address == other) {
            source.report("listen", key, std::string{"an address other than that of "} + other_key);
        }
    };
    overlap("operators", value.listen.operators, "callers", value.listen.callers);
    overlap("hosts", value.listen.hosts, "callers", value.listen.callers);
    overlap("hosts", value.listen.hosts, "operators", value.listen.operators);
}

void check_own_seed(settings_source& source, const settings& value) {
    const auto own = std::find_if(value.seeds.begin(), value.seeds.end(),
                                  [&](const seed_host& seed) { return seed.host == value.host; });
    const bool expected = has_control_role(value.role);
    if (own == value.seeds.end()) {
        if (expected && !value.formation.automatic && !value.host.empty()) {
            source.report("seeds", value.host.value(),
                          "this host's address for hosts, since it has the role " +
                              std::string{to_name(value.role)});
        }
        return;
    }
    if (!expected && !value.formation.automatic) {
        source.report("seeds", value.host.value(), "control hosts only; this one has the role entry");
    } else if (own->address != value.listen.hosts) {
        source.report("seeds", value.host.value(), "the same address as [listen] hosts");
    }
}

void check_seeds(settings_source& source, const settings& value) {
    if (value.seeds.empty()) {
        source.report("seeds", "", "one line `name = address` for each control host");
        return;
    }
    if (value.seeds.size() > max_control_hosts) {
        source.report("seeds", value.seeds[max_control_hosts].host.value(),
                      "at most " + std::to_string(max_control_hosts) + " control hosts");
    }
    std::set<endpoint> addresses;
    for (const seed_host& seed : value.seeds) {
        if (!addresses.insert(seed.address).second) {
            source.report("seeds", seed.host.value(), "an address that no other seed has");
        }
    }
    check_own_seed(source, value);
}

void check_times(settings_source& source, const protocol_times& times) {
    if (times.election_timeout < times.heartbeat * min_heartbeats_per_election_timeout) {
        source.report("times", "election_timeout",
                      "at least " + describe_duration(times.heartbeat * min_heartbeats_per_election_timeout) +
                          ", three heartbeats");
    }
    if (times.lease_length < times.lease_renewal * min_renewals_per_lease) {
        source.report("times", "lease_length",
                      "at least " + describe_duration(times.lease_renewal * min_renewals_per_lease) +
                          ", two renewals");
    }
}

void check_data_folder(settings_source& source, const settings& value) {
    if (value.data_folder.empty()) {
        return;
    }
    struct stat found {};
    if (stat(value.data_folder.c_str(), &found) != 0 || !S_ISDIR(found.st_mode)) {
        source.report("host", "data_folder", "a folder that exists");
    } else if (access(value.data_folder.c_str(), R_OK | W_OK | X_OK) != 0) {
        source.report("host", "data_folder", "a folder that this process can read and write");
    }
}

void check_token_file(settings_source& source, const settings& value) {
    if (value.token_file.empty()) {
        return;
    }
    struct stat found {};
    if (stat(value.token_file.c_str(), &found) != 0 || !S_ISREG(found.st_mode)) {
        source.report("operators", "token_file", "a file that exists");
    } else if ((found.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        source.report("operators", "token_file", "a file of mode 0600 or 0400, closed to group and others");
    }
}

} // namespace

void check_consistency(settings_source& source, const settings& value) {
    if (has_control_role(value.role) && value.data_folder.empty()) {
        source.report("host", "data_folder",
                      "a folder, since the host has the role " + std::string{to_name(value.role)});
    }
    check_listen(source, value);
    check_seeds(source, value);
    check_times(source, value.times);
}

void check_files(settings_source& source, const settings& value) {
    check_data_folder(source, value);
    check_token_file(source, value);
}

} // namespace tamarack
