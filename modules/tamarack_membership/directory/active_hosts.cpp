#include "active_hosts.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace tamarack {

namespace {

/**
 * At this utilisation of a processor, the waiting time of callers' requests about equals their service time
 * (M/M/1).
 */
constexpr double max_utilisation = 0.5;
/**
 * Slower hosts in addition to the fast ones, so that a caller always knows an address outside the fast
 * group.
 */
constexpr std::size_t min_spare = 2;
/** With fewer active hosts, the failure of one would affect more than a quarter of the callers. */
constexpr std::size_t min_active = 4;

/** @return whether a host is at least half as fast as the fastest one */
bool is_comparable(const host_record& host, std::uint32_t fastest) {
    return host.capacity * 2 >= fastest;
}

std::uint32_t fastest_of(const std::vector<host_record>& hosts) {
    const auto fastest = std::ranges::max_element(hosts, {}, &host_record::capacity);
    return fastest == hosts.end() ? 0 : fastest->capacity;
}

template <typename Member>
double sum_of(const std::vector<host_record>& hosts, Member member) {
    return std::accumulate(hosts.begin(), hosts.end(), 0.0, [member](double sum, const host_record& host) {
        return sum + static_cast<double>(host.*member);
    });
}

} // namespace

active_hosts choose_active_hosts(std::vector<host_record> running) {
    const std::uint32_t fastest = fastest_of(running);
    const bool all_report_capacity =
        std::ranges::all_of(running, [](const host_record& host) { return host.capacity > 0; });
    const double load = sum_of(running, &host_record::load);
    const auto slower = std::stable_partition(running.begin(), running.end(), [&](const host_record& host) {
        return !all_report_capacity || is_comparable(host, fastest);
    });
    std::sort(slower, running.end(), [](const host_record& left, const host_record& right) {
        return std::make_pair(stable_hash(left.host.value()), left.host) <
               std::make_pair(stable_hash(right.host.value()), right.host);
    });
    active_hosts chosen;
    chosen.load = static_cast<std::uint32_t>(load);
    chosen.active.assign(running.begin(), slower);
    const std::size_t min_count = std::max(chosen.active.size() + min_spare, min_active);
    double usable_capacity = max_utilisation * sum_of(chosen.active, &host_record::capacity);
    for (auto host = slower; host != running.end(); ++host) {
        if (chosen.active.size() >= min_count && usable_capacity >= load) {
            chosen.standby.push_back(host->host);
            continue;
        }
        usable_capacity += max_utilisation * static_cast<double>(host->capacity);
        chosen.active.push_back(*host);
    }
    return chosen;
}

std::vector<endpoint> sample_entry_addresses(const std::vector<host_record>& entries, random_source& random,
                                             std::size_t max_count) {
    const std::uint32_t fastest = fastest_of(entries);
    std::vector<endpoint> chosen;
    for (const host_record& entry : entries) {
        const double share = static_cast<double>(entry.capacity) / std::max(fastest, 1U);
        if (is_comparable(entry, fastest) || random.chance(share)) {
            chosen.push_back(entry.callers_address);
        }
    }
    for (std::size_t index = chosen.size(); index > 1; --index) {
        std::swap(chosen[index - 1], chosen[random.below(index)]);
    }
    chosen.resize(std::min(chosen.size(), max_count));
    return chosen;
}

} // namespace tamarack
