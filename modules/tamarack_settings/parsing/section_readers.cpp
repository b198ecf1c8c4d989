#include "section_readers.h"

#include "value_parsers.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace tamarack {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::uint64_t max_tolerated_losses = 3;
constexpr std::size_t max_data_centers = 100;
constexpr std::size_t max_data_center_name = 200;
constexpr double max_processor_cores = 1'000.0;
constexpr double max_extra_ratio = 1.0;
constexpr double max_extra_allowance = 1e6;
constexpr auto allowed_name = "1 to 64 letters, digits, '-', '_' or '.'";
constexpr auto allowed_listen = "an IP address of this host with a port, such as 192.0.2.1:7100; no wildcard";
constexpr auto allowed_seed = "a host's address for hosts, such as 192.0.2.1:7300, with a port above 0";

struct time_key {
    const char* name;
    duration protocol_times::*member;
    duration min_value;
    duration max_value;
};

constexpr std::array<time_key, 8> time_keys{{
    {"heartbeat", &protocol_times::heartbeat, 10ms, 1s},
    {"election_timeout", &protocol_times::election_timeout, 50ms, 5s},
    {"lease_length", &protocol_times::lease_length, 200ms, 5s},
    {"lease_renewal", &protocol_times::lease_renewal, 50ms, 2s},
    {"probe_interval", &protocol_times::probe_interval, 50ms, 10s},
    {"target_lease", &protocol_times::target_lease, 500ms, 30s},
    {"directory_keep", &protocol_times::directory_keep, 100ms, 5min},
    {"drain_limit", &protocol_times::drain_limit, 1s, 1h},
}};

struct limit_time_key {
    const char* name;
    duration host_limits::*member;
    duration min_value;
    duration max_value;
};

constexpr std::array<limit_time_key, 2> limit_time_keys{{
    {"idle_connection", &host_limits::idle_connection, 1s, 1h},
    {"request_receipt", &host_limits::request_receipt, 100ms, 5min},
}};

struct number_key {
    const char* name;
    std::size_t host_limits::*member;
    std::size_t min_value;
    std::size_t max_value;
};

constexpr std::array<number_key, 5> size_keys{{
    {"header_bytes", &host_limits::header_bytes, 1'024, 1'048'576},
    {"body_bytes", &host_limits::body_bytes, 1'024, 67'108'864},
    {"reply_bytes", &host_limits::reply_bytes, 1'024, 67'108'864},
    {"machine_memory", &host_limits::machine_memory, 33'554'432, 1'099'511'627'776},
    {"connection_bytes", &host_limits::connection_bytes, 4'194'304, 1'099'511'627'776},
}};

constexpr std::array<number_key, 3> count_keys{{
    {"header_fields", &host_limits::header_fields, 16, 10'000},
    {"caller_connections", &host_limits::caller_connections, 1, 60'000},
    {"queued_requests", &host_limits::queued_requests, 1, 60'000},
}};

bool is_name(const std::string& text) {
    constexpr auto letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= max_name_bytes &&
           text.find_first_not_of(letters) == std::string::npos;
}

std::string read_name(settings_source& source, const std::string& section, const std::string& key) {
    std::string value = source.find(section, key).value_or("");
    if (!is_name(value)) {
        source.report(section, key, allowed_name);
    }
    return value;
}

void read_role(settings_source& source, settings& into) {
    const auto role = from_name<host_role>(source.find("host", "role").value_or(""));
    if (!role) {
        source.report("host", "role", "entry, control or both");
        return;
    }
    into.role = *role;
}

endpoint read_address(settings_source& source, const std::string& section, const std::string& key) {
    const std::string value = source.find(section, key).value_or("");
    const auto parts = parse_address(value);
    if (!parts || parts->wildcard) {
        source.report(section, key, allowed_listen);
    }
    return endpoint{value};
}

endpoint read_listen_address(settings_source& source, const std::string& key) {
    return read_address(source, "listen", key);
}

template <typename Key, typename Limits>
void read_duration(settings_source& source, const char* section, const Key& key, Limits& into) {
    const auto text = source.find(section, key.name);
    if (!text) {
        return;
    }
    const auto value = parse_duration(*text);
    if (!value || *value < key.min_value || *value > key.max_value) {
        source.report(section, key.name,
                      describe_duration(key.min_value) + " to " + describe_duration(key.max_value) +
                          ", with a unit: ms, s, min or h");
        return;
    }
    into.*key.member = *value;
}

void read_number(settings_source& source, const number_key& key, std::optional<std::uint64_t> value,
                 const std::string& unit, host_limits& into) {
    if (!value || *value < key.min_value || *value > key.max_value) {
        source.report("limits", key.name,
                      std::to_string(key.min_value) + " to " + std::to_string(key.max_value) + unit);
        return;
    }
    into.*key.member = static_cast<std::size_t>(*value);
}

void read_positive(settings_source& source, const std::string& section, const std::string& key,
                   double upper_bound, double& into) {
    const auto text = source.find(section, key);
    if (!text) {
        return;
    }
    const auto value = parse_real(*text);
    if (value && *value > 0.0 && *value <= upper_bound) {
        into = *value;
        return;
    }
    source.report(section, key, "above 0, at most " + std::to_string(static_cast<long>(upper_bound)));
}

std::string all_mechanisms() {
    std::string names;
    for (const auto& [mechanism, name] : name_table<forwarding_mechanism>::entries) {
        names += (names.empty() ? "" : ", ") + std::string{name};
    }
    return names;
}

} // namespace

void read_host(settings_source& source, settings& into) {
    into.host = host_id{read_name(source, "host", "name")};
    into.data_center = data_center_id{read_name(source, "host", "data_center")};
    read_role(source, into);
    into.data_folder = source.find("host", "data_folder").value_or("");
    into.token_file = source.find("operators", "token_file").value_or("");
    const std::string recognise = source.find("host", "recognise_copies").value_or("true");
    if (recognise != "true" && recognise != "false") {
        source.report("host", "recognise_copies", "true or false");
    }
    into.recognise_copies = recognise == "true";
    read_positive(source, "host", "processor_share", max_processor_cores, into.processor_share);
    read_positive(source, "host", "processor_speed", max_processor_cores, into.processor_speed);
}

void read_listen(settings_source& source, settings& into) {
    into.listen.callers = read_listen_address(source, "callers");
    into.listen.operators = read_listen_address(source, "operators");
    into.listen.hosts = read_listen_address(source, "hosts");
}

void read_seeds(settings_source& source, settings& into) {
    for (const auto& [name, address] : source.entries("seeds")) {
        const auto parts = parse_address(address);
        if (!is_name(name)) {
            source.report("seeds", name, std::string{"a host name as the key: "} + allowed_name);
        }
        if (!parts || parts->wildcard || parts->port == 0) {
            source.report("seeds", name, allowed_seed);
        }
        into.seeds.push_back({host_id{name}, endpoint{address}});
    }
}

void read_edge(settings_source& source, settings& into) {
    const std::string kind = source.find("edge", "kind").value_or(std::string{to_name(edge_kind::own)});
    const auto known = from_name<edge_kind>(kind);
    if (!known) {
        source.report("edge", "kind", "own or platform");
        return;
    }
    into.edge.kind = *known;
    if (into.edge.kind == edge_kind::platform) {
        into.edge.readiness = read_address(source, "edge", "readiness");
        into.edge.directory = read_address(source, "edge", "directory");
        into.edge.control = read_address(source, "edge", "control");
    }
}

namespace {

void read_data_centers(settings_source& source, std::vector<data_center_id>& into) {
    std::istringstream list{source.find("formation", "data_centers").value_or("")};
    std::string name;
    while (std::getline(list, name, ',')) {
        const bool valid = !name.empty() && name.size() <= max_data_center_name &&
                           name.find_first_of("/? ") == std::string::npos &&
                           std::ranges::find(into, data_center_id{name}) == into.end();
        if (!valid || into.size() == max_data_centers) {
            source.report("formation", "data_centers",
                          "up to " + std::to_string(max_data_centers) +
                              " different names, separated by commas");
            return;
        }
        into.emplace_back(name);
    }
}

} // namespace

void read_formation(settings_source& source, settings& into) {
    read_data_centers(source, into.formation.data_centers);
    const auto listed = source.find("formation", "seeds");
    const auto first = source.find("formation", "first_start");
    const auto losses = source.find("formation", "tolerated_losses");
    if (!listed) {
        return;
    }
    into.formation.automatic = true;
    into.formation.first_start = first && *first == "true";
    if (first && *first != "true" && *first != "false") {
        source.report("formation", "first_start", "true or false");
    }
    const auto tolerated = parse_count(losses.value_or("1"));
    if (!tolerated || *tolerated > max_tolerated_losses) {
        source.report("formation", "tolerated_losses", "0 to " + std::to_string(max_tolerated_losses));
    } else {
        into.formation.tolerated_losses = static_cast<std::uint32_t>(*tolerated);
    }
    const auto own = parse_address(into.listen.hosts.value());
    std::istringstream list{*listed};
    std::string address;
    while (std::getline(list, address, ',')) {
        const auto parts = parse_address(address);
        if (!parts || parts->wildcard) {
            source.report("formation", "seeds", "IP addresses with ports, separated by commas");
            return;
        }
        const std::string port = std::to_string(own ? own->port : 0);
        into.seeds.push_back({host_id{parts->ip}, endpoint{parts->ip + ":" + port}});
    }
}

void read_forwarding(settings_source& source, forwarding_settings& into) {
    if (const auto text = source.find("forwarding", "extra_ratio")) {
        if (const auto value = parse_real(*text); value && *value >= 0.0 && *value <= max_extra_ratio) {
            into.extra_ratio = *value;
        } else {
            source.report("forwarding", "extra_ratio", "0 to 1");
        }
    }
    if (const auto text = source.find("forwarding", "extra_allowance")) {
        if (const auto value = parse_real(*text); value && *value >= 0.0 && *value <= max_extra_allowance) {
            into.extra_allowance = *value;
        } else {
            source.report("forwarding", "extra_allowance", "0 to 1000000");
        }
    }
    if (const auto text = source.find("forwarding", "extra_window")) {
        if (const auto value = parse_duration(*text); value && *value >= 1s && *value <= 10min) {
            into.extra_window = *value;
        } else {
            source.report("forwarding", "extra_window", "1s to 10min");
        }
    }
    if (const auto text = source.find("forwarding", "locality")) {
        if (const auto value = from_name<locality_mode>(*text)) {
            into.locality = *value;
        } else {
            source.report("forwarding", "locality", "fixed or adaptive");
        }
    }
}

void read_ablation(settings_source& source, mechanisms_in_use& into) {
    const auto text = source.find("ablation", "off");
    if (!text) {
        return;
    }
    std::istringstream list{*text};
    std::string name;
    while (std::getline(list, name, ',')) {
        const auto mechanism = from_name<forwarding_mechanism>(name);
        if (!mechanism) {
            source.report("ablation", "off", "names of mechanisms, separated by commas: " + all_mechanisms());
            return;
        }
        into.switch_off(*mechanism);
    }
}

void read_teams(settings_source& source, team_settings& into) {
    if (const auto text = source.find("keys", "revocation_time")) {
        if (const auto value = parse_duration(*text); value && *value >= 1s && *value <= 10min) {
            into.revocation_time = *value;
        } else {
            source.report("keys", "revocation_time", "1s to 10min");
        }
    }
    if (const auto text = source.find("teams", "limit_window")) {
        if (const auto value = parse_duration(*text); value && *value >= 1s && *value <= 10min) {
            into.limit_window = *value;
        } else {
            source.report("teams", "limit_window", "1s to 10min");
        }
    }
    if (const auto text = source.find("teams", "limit_overage")) {
        if (const auto value = parse_real(*text); value && *value >= 0.0 && *value <= 1.0) {
            into.limit_overage = *value;
        } else {
            source.report("teams", "limit_overage", "0 to 1");
        }
    }
    if (const auto text = source.find("teams", "limit_slack")) {
        if (const auto value = parse_real(*text); value && *value >= 0.0 && *value <= max_extra_allowance) {
            into.limit_slack = *value;
        } else {
            source.report("teams", "limit_slack", "0 to 1000000");
        }
    }
}

void read_times(settings_source& source, protocol_times& into) {
    for (const time_key& key : time_keys) {
        read_duration(source, "times", key, into);
    }
}

void read_limits(settings_source& source, host_limits& into) {
    for (const limit_time_key& key : limit_time_keys) {
        read_duration(source, "limits", key, into);
    }
    for (const number_key& key : size_keys) {
        if (const auto text = source.find("limits", key.name)) {
            read_number(source, key, parse_size(*text), " bytes, with a unit: B, KiB or MiB", into);
        }
    }
    for (const number_key& key : count_keys) {
        if (const auto text = source.find("limits", key.name)) {
            read_number(source, key, parse_count(*text), ", without a unit", into);
        }
    }
}

} // namespace tamarack
