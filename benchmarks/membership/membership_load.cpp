#include "../../tests/membership/network_scenarios.h"

#include <json/writer.h>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

/**
 * @file
 * Measures the cost of membership for one host, and how fast a change reaches all hosts, on a virtual-time
 * network whose messages are encoded and decoded as JSON text.
 *
 * Usage: bench_membership SCENARIO HOSTS TARGETS [SECONDS] [SEED]
 * Scenarios: steady, churn, rack, drain, silence, loss, sizes, and start, in which all hosts start at once
 * with the timing settings of the users' platform.
 */

namespace tamarack::testing {
namespace {

constexpr double json_rpc_wrapper_bytes = 52;
constexpr double header_bytes = 200;

struct arguments {
    std::string scenario = "steady";
    std::size_t hosts = 10;
    std::size_t targets = 65;
    duration length = 30s;
    std::uint64_t seed = 1;
};

struct traffic {
    double messages = 0;
    double body_bytes = 0;
    double heartbeats = 0;
    double processor = 0; ///< processor use, as a share of one core
};

double seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

constexpr std::size_t kinds = std::variant_size_v<membership_message>;
constexpr std::array<const char*, kinds> kind_names{"probe_request", "probe_reply", "news_push",
                                                    "sync_request", "sync_reply"};

struct totals {
    std::array<std::uint64_t, kinds> bytes_of_kind{};
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytes_to_other_data_centers = 0;
    std::uint64_t receipts = 0;
    duration busy{};
};

totals total_of(virtual_network& network) {
    totals sum;
    for (const virtual_host& host : network.hosts()) {
        sum.messages += host.messages_sent;
        sum.bytes += host.bytes_sent;
        sum.bytes_to_other_data_centers += host.bytes_to_other_data_centers;
        sum.busy += host.busy;
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            sum.bytes_of_kind[kind] += host.bytes_of_kind[kind];
        }
    }
    for (const virtual_target& target : network.targets()) {
        sum.receipts += target.receipts;
    }
    return sum;
}

traffic per_host(const totals& before, const totals& after, std::size_t hosts, duration length) {
    const double scale = 1.0 / (static_cast<double>(hosts) * seconds(length));
    return {static_cast<double>(after.messages - before.messages) * scale,
            static_cast<double>(after.bytes - before.bytes) * scale,
            static_cast<double>(after.receipts - before.receipts) * scale,
            seconds(after.busy - before.busy) * scale};
}

void print_traffic(const arguments& run, const traffic& cost) {
    const double sent_with_headers =
        cost.body_bytes + cost.messages * (json_rpc_wrapper_bytes + 2 * header_bytes);
    std::printf("%s: %zu hosts, %zu targets, %.0f s: per host %.2f messages/s, %.0f body bytes/s sent, "
                "%.0f bytes/s sent with HTTP, %.2f heartbeats/s, processor %.3f %% of a core\n",
                run.scenario.c_str(), run.hosts, run.targets, seconds(run.length), cost.messages,
                cost.body_bytes, sent_with_headers, cost.heartbeats, cost.processor * 100);
}

void measure_traffic(const arguments& run, virtual_network& network,
                     const std::function<void(std::size_t second)>& each_second) {
    const totals before = total_of(network);
    const auto whole = static_cast<std::size_t>(seconds(run.length));
    for (std::size_t second = 0; second < whole; ++second) {
        if (each_second) {
            each_second(second);
        }
        network.run_for(1s);
    }
    const totals after = total_of(network);
    print_traffic(run, per_host(before, after, run.hosts, run.length));
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        const auto bytes = static_cast<double>(after.bytes_of_kind[kind] - before.bytes_of_kind[kind]);
        std::printf("  %s %.0f body bytes/s\n", kind_names[kind],
                    bytes / static_cast<double>(run.hosts) / seconds(run.length));
    }
}

std::size_t memory_in_use() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measure_memory(virtual_network& network) {
    auto copy = std::make_unique<target_registry>(host_id{"copy"}, network.registry, network.now());
    const std::size_t before = memory_in_use();
    copy->on_changes(network.now(), network.hosts()[0].registry->all());
    const std::size_t targets = memory_in_use() - before;
    host_table table;
    const std::size_t before_hosts = memory_in_use();
    for (const host_record& record : network.hosts()[0].detector->hosts()) {
        table.merge(network.now(), record);
    }
    const std::size_t hosts = memory_in_use() - before_hosts;
    std::printf("memory of one host: %zu bytes for %zu targets, %zu bytes for %zu hosts\n", targets,
                copy->size(), hosts, table.peers().size());
}

void measure_spread(const arguments& run, virtual_network& network, bool silent) {
    std::vector<double> last;
    std::vector<double> typical;
    for (std::size_t target = 0; target < std::min<std::size_t>(run.targets, 10); ++target) {
        network.run_for(700ms);
        const time_point begin = network.now();
        if (silent) {
            network.silence_target(target);
        } else {
            network.set_target_state(target, target_state::draining);
        }
        std::vector<std::size_t> remaining{network.count_using(target)};
        double half = 0;
        while (remaining.back() > 0 && network.now() < begin + 20s) {
            network.run_for(20ms);
            remaining.push_back(network.count_using(target));
            if (half == 0 && remaining.back() * 2 <= remaining.front()) {
                half = seconds(network.now() - begin);
            }
        }
        typical.push_back(half);
        last.push_back(seconds(network.now() - begin));
    }
    std::sort(last.begin(), last.end());
    std::sort(typical.begin(), typical.end());
    std::printf("%s: %zu hosts, %zu changes: half of the hosts after %.2f s (median), all after %.2f s "
                "(median) and %.2f s (longest)\n",
                run.scenario.c_str(), run.hosts, last.size(), typical[typical.size() / 2],
                last[last.size() / 2], last.back());
}

void measure_loss(const arguments& run, virtual_network& network) {
    std::size_t suspected = 0;
    std::size_t died = 0;
    network.on_host_changed = [&](std::size_t /*by*/, const host_record& record) {
        suspected += record.state == host_state::suspect ? 1 : 0;
        died += record.state == host_state::dead ? 1 : 0;
    };
    network.conditions.loss = 0.2;
    measure_traffic(run, network, nullptr);
    const double host_seconds = static_cast<double>(run.hosts) * seconds(run.length);
    std::printf(
        "20 %% loss: %zu false suspicions and %zu false deaths as seen by any host, that is %.4f deaths "
        "per host and hour of each view\n",
        suspected, died, static_cast<double>(died) / host_seconds * 3600 / static_cast<double>(run.hosts));
}

void measure_churn(const arguments& run, virtual_network& network) {
    // The stated load is one host restart every six minutes; here a host restarts every six seconds, so the
    // extra cost is 60 times as high.
    measure_traffic(run, network, [&](std::size_t second) {
        if (second % 6 == 0) {
            network.leave_host(10 + second % (run.hosts - 10));
        } else if (second % 6 == 3) {
            network.start_host(10 + (second - 3) % (run.hosts - 10));
        }
    });
}

void measure_rack(const arguments& run, virtual_network& network) {
    const std::size_t rack = std::max<std::size_t>(1, run.hosts / 56);
    for (std::size_t host = 0; host < rack; ++host) {
        network.kill_host(run.hosts - 1 - host);
    }
    const time_point begin = network.now();
    measure_traffic(run, network, nullptr);
    std::printf("rack of %zu hosts lost: views agree %s after %.0f s\n", rack,
                network.views_agree() ? "again" : "not yet", seconds(network.now() - begin));
}

std::size_t text_size(const Json::Value& json) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json).size();
}

announcement typical_announcement() {
    announcement value;
    value.target = target_id{"recall-finder-07-s31-r2"};
    value.incarnation = incarnation_id{0x7123456789abcdefULL};
    value.sequence = 86'400;
    value.address = endpoint{"10.20.130.140:18080"};
    value.data_center = data_center_id{"stara-zagora"};
    value.service = service_id{"recall-finder-07"};
    value.shard = shard_id{"s31"};
    value.replica = 2;
    value.versions = {{index_version{"2026-11-30"}, "map-4"}, {index_version{"2026-12-01"}, "map-4"}};
    value.slots = 5;
    value.connections = 40;
    value.state = target_state::ready;
    value.load = {4, 1};
    return value;
}

configuration full_configuration() {
    configuration full;
    for (std::size_t service = 0; service < 18; ++service) {
        service_definition definition;
        definition.id = service_id{"recall-finder-" + std::to_string(10 + service)};
        definition.maps = {{"map-4", {}}};
        for (std::size_t shard = 0; shard < 65; ++shard) {
            definition.maps[0].shards.emplace_back("s" + std::to_string(10 + shard));
        }
        full.services[definition.id] = definition;
        full.limits[{definition.id, shard_id{}}] = {definition.id, shard_id{}, 5, 40};
    }
    return full;
}

void print_sizes() {
    const announcement value = typical_announcement();
    const host_record host{host_id{"stara-zagora-host-17"},
                           {1'764'806'400'000},
                           3,
                           host_state::alive,
                           false,
                           value.data_center,
                           endpoint{"10.20.130.140:17000"},
                           endpoint{"10.20.130.140:18000"}};
    const target_record target{value, host.host, true, 172'800, 3};
    sync_request comparison{7, host.host, 0, std::vector<std::uint32_t>(state_groups, 0xdeadbeefU),
                            0xdeadbeefU};
    std::printf("bytes of JSON text: announcement %zu, heartbeat %zu, host record %zu, target record %zu, "
                "probe %zu, comparison %zu, configuration of 18 services with 65 shards each %zu\n",
                text_size(encode_announcement(value)),
                text_size(encode_heartbeat({value.target, value.incarnation, value.sequence, value.load})),
                text_size(encode_host_record(host)), text_size(encode_target_record(target)),
                text_size(encode_membership_message(probe_request{86'400, host.host, host.host, false, {}})),
                text_size(encode_membership_message(comparison)),
                text_size(encode_configuration(full_configuration())));
}

/**
 * The highest number of bytes sent and received by any host, and the highest processor time used by any
 * host.
 */
struct busiest {
    std::uint64_t bytes = 0;
    duration busy{};
};

busiest busiest_of(virtual_network& network) {
    busiest peak;
    for (const virtual_host& host : network.hosts()) {
        peak.bytes = std::max(peak.bytes, host.bytes_sent + host.bytes_received);
        peak.busy = std::max(peak.busy, host.busy);
    }
    return peak;
}

constexpr std::size_t platform_data_centers = 6;
constexpr duration start_spread = 300ms; ///< all hosts of the users' platform start within this time

/** Applies the timing settings of the users' platform, as in platform/host.ini.in and hosts_options. */
void use_platform_times(virtual_network& network) {
    network.detector.probe_interval = 300ms;
    network.detector.probe_timeout = 120ms;
    network.detector.probe_limit = 350ms;
    network.detector.max_direct_push_hosts = 128;
    network.detector.relay_updates = true;
    network.registry.target_lease = 6s;
    network.registry.heartbeat = 1200ms;
    network.registry.max_heartbeat_interval = 1200ms;
    network.registry.only_known_services = false;
    network.registry.orphan_time = 8s;
}

void measure_start(const arguments& run) {
    virtual_network network{run.seed, {}};
    use_platform_times(network);
    network.conditions.as_text = true;
    for (std::size_t host = 0; host < run.hosts; ++host) {
        network.add_host(data_center_name(host % platform_data_centers));
        network.hosts()[host].record.control = host < platform_data_centers;
        network.hosts()[host].record.draining = true;
    }
    for (std::size_t host = 0; host < run.hosts; ++host) {
        network.start_host(host);
        network.run_for(start_spread / static_cast<duration::rep>(run.hosts));
    }
    for (std::size_t target = 0; target < run.targets; ++target) {
        network.add_target(data_center_name(target % platform_data_centers), "finder",
                           "s" + std::to_string(target), 0);
    }
    std::vector<std::size_t> entering;
    for (std::size_t host = 0; host < run.hosts; ++host) {
        entering.push_back(host);
    }
    duration all_known{0};
    const duration step = 100ms;
    for (duration passed{0}; passed < run.length; passed += step) {
        network.run_for(step);
        const bool enters = passed >= 2s;
        for (std::size_t host = 0; enters && host < 10 && !entering.empty(); ++host) {
            network.drain_host(entering.back(), false);
            entering.pop_back();
        }
        if (all_known == duration{0} && entering.empty() && network.views_agree()) {
            all_known = passed + step;
        }
    }
    const totals all = total_of(network);
    const busiest peak = busiest_of(network);
    const auto hosts = static_cast<double>(run.hosts);
    std::printf(
        "start: %zu hosts, %zu targets, %.0f s: per host %.0f messages, %.0f KB of bodies sent, %.0f KB of "
        "them to other data centres, %.0f ms of processor; busiest host %.0f KB both ways, %.0f ms; all "
        "agree after %.1f s (0: not yet)\n",
        run.hosts, run.targets, seconds(run.length), static_cast<double>(all.messages) / hosts,
        static_cast<double>(all.bytes) / hosts / 1e3,
        static_cast<double>(all.bytes_to_other_data_centers) / hosts / 1e3, seconds(all.busy) * 1e3 / hosts,
        static_cast<double>(peak.bytes) / 1e3, seconds(peak.busy) * 1e3, seconds(all_known));
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        std::printf("  %s %.0f KB a host\n", kind_names[kind],
                    static_cast<double>(all.bytes_of_kind[kind]) / hosts / 1e3);
    }
}

void run_scenario(const arguments& run) {
    if (run.scenario == "start") {
        measure_start(run);
        return;
    }
    if (run.scenario == "sizes") {
        print_sizes();
        return;
    }
    const network_shape shape{run.hosts, std::min<std::size_t>(7, run.hosts), run.targets, true};
    const auto network = make_network(run.seed, shape);
    network->run_for(12s);
    network->conditions.as_text = true;
    if (!network->views_agree()) {
        std::printf("views do not agree before the measurement\n");
    }
    if (run.scenario == "steady") {
        measure_traffic(run, *network, nullptr);
        measure_memory(*network);
    } else if (run.scenario == "churn") {
        measure_churn(run, *network);
    } else if (run.scenario == "rack") {
        measure_rack(run, *network);
    } else if (run.scenario == "loss") {
        measure_loss(run, *network);
    } else {
        measure_spread(run, *network, run.scenario == "silence");
    }
}

} // namespace
} // namespace tamarack::testing

int main(int count, char** values) {
    tamarack::testing::arguments run;
    const std::vector<std::string> given{values + 1, values + count};
    if (given.size() < 3) {
        std::printf("usage: bench_membership steady|churn|rack|drain|silence|loss|sizes HOSTS TARGETS "
                    "[SECONDS] [SEED]\n"
                    "scenarios also: start\n");
        return EXIT_FAILURE;
    }
    run.scenario = given[0];
    run.hosts = std::stoul(given[1]);
    run.targets = std::stoul(given[2]);
    run.length = std::chrono::seconds{given.size() > 3 ? std::stol(given[3]) : 30};
    run.seed = given.size() > 4 ? std::stoul(given[4]) : 1;
    tamarack::testing::run_scenario(run);
    return EXIT_SUCCESS;
}
