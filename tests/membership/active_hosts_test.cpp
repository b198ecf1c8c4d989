#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace tamarack {
namespace {

constexpr std::uint32_t fast = 320;
constexpr std::uint32_t slow = 120;

host_record host(const std::string& name, std::uint32_t capacity, std::uint32_t load = 0) {
    host_record record;
    record.host = host_id{name};
    record.callers_address = endpoint{name + ":80"};
    record.capacity = capacity;
    record.load = load;
    return record;
}

/** Eight fast hosts and sixty-three slow ones. */
std::vector<host_record> large_deployment(std::uint32_t load_of_fast = 0) {
    std::vector<host_record> hosts;
    hosts.reserve(71);
    for (int index = 0; index < 8; ++index) {
        hosts.push_back(host("fast-" + std::to_string(index), fast, load_of_fast));
    }
    for (int index = 0; index < 63; ++index) {
        hosts.push_back(host("slow-" + std::to_string(index), slow));
    }
    return hosts;
}

std::size_t count_fast(const active_hosts& chosen) {
    return static_cast<std::size_t>(std::ranges::count(chosen.active, fast, &host_record::capacity));
}

/**
 * Load pattern: a request takes 6 ms of a full core; on a slow host this is 51 ms, above the objective of
 * 40 ms.
 */
TEST(active_hosts, callers_go_to_the_fast_hosts_and_to_a_few_others_while_load_is_low) {
    const active_hosts chosen = choose_active_hosts(large_deployment(100));
    EXPECT_EQ(count_fast(chosen), 8U);
    EXPECT_EQ(chosen.active.size(), 10U);
    EXPECT_EQ(chosen.standby.size(), 61U);
}

/** Load pattern: the load rises to 1.7 to 4 times its usual level for some seconds. */
TEST(active_hosts, more_hosts_take_part_as_load_rises) {
    std::size_t before = 0;
    for (const std::uint32_t load : {100U, 200U, 300U, 600U, 1'200U}) {
        const active_hosts chosen = choose_active_hosts(large_deployment(load));
        EXPECT_GE(chosen.active.size(), before);
        before = chosen.active.size();
        double usable_capacity = 0;
        for (const host_record& record : chosen.active) {
            usable_capacity += record.capacity / 2.0;
        }
        EXPECT_TRUE(usable_capacity >= 8.0 * load || chosen.standby.empty()) << load;
    }
    EXPECT_EQ(before, 71U);
}

TEST(active_hosts, all_are_active_if_they_are_about_as_fast) {
    const active_hosts chosen = choose_active_hosts({host("a", 450), host("b", 250), host("c", 250)});
    EXPECT_EQ(chosen.active.size(), 3U);
    EXPECT_TRUE(chosen.standby.empty());
}

TEST(active_hosts, all_are_active_if_one_does_not_report_its_capacity) {
    auto hosts = large_deployment();
    hosts.push_back(host("other", 0));
    EXPECT_TRUE(choose_active_hosts(hosts).standby.empty());
}

/** Load pattern: all fast hosts lose power at the same time. */
TEST(active_hosts, the_slow_hosts_take_all_callers_once_the_fast_ones_are_gone) {
    auto hosts = large_deployment();
    hosts.erase(hosts.begin(), hosts.begin() + 8);
    EXPECT_EQ(choose_active_hosts(hosts).active.size(), 63U);
    hosts.push_back(host("fast-0", fast));
    EXPECT_GE(choose_active_hosts(hosts).active.size(), 4U)
        << "a single fast host does not serve all callers alone";
}

TEST(active_hosts, hosts_with_the_same_records_choose_the_same_hosts) {
    auto hosts = large_deployment(300);
    const active_hosts chosen = choose_active_hosts(hosts);
    std::ranges::reverse(hosts);
    active_hosts other = choose_active_hosts(hosts);
    const auto names = [](const active_hosts& found) {
        std::set<host_id> result;
        for (const host_record& record : found.active) {
            result.insert(record.host);
        }
        return result;
    };
    EXPECT_EQ(names(chosen), names(other));
}

TEST(sample_entry_addresses, includes_hosts_in_proportion_to_their_capacity) {
    const active_hosts chosen = choose_active_hosts(large_deployment());
    random_source random{1};
    std::map<endpoint, int> named;
    for (int call = 0; call < 1'000; ++call) {
        for (const endpoint& address : sample_entry_addresses(chosen.active, random, 64)) {
            ++named[address];
        }
    }
    for (const host_record& record : chosen.active) {
        const int count = named[record.callers_address];
        if (record.capacity == fast) {
            EXPECT_EQ(count, 1'000);
        } else {
            EXPECT_NEAR(count, 375, 60);
        }
    }
    EXPECT_EQ(sample_entry_addresses(chosen.active, random, 3).size(), 3U);
    EXPECT_TRUE(sample_entry_addresses({}, random, 64).empty());
}

/** Load pattern: callers close their connections to hosts that a later answer leaves out. */
TEST(sample_entry_addresses, always_includes_hosts_of_comparable_speed) {
    std::vector<host_record> entries(4);
    for (std::size_t host = 0; host < entries.size(); ++host) {
        entries[host].callers_address = endpoint{"10.0.0." + std::to_string(host) + ":80"};
        entries[host].capacity = host == 0 ? 450 : 250;
    }
    random_source random{1};
    for (int call = 0; call < 100; ++call) {
        EXPECT_EQ(sample_entry_addresses(entries, random, 64).size(), entries.size());
    }
}

/** Load pattern: the load varies from second to second, and each report goes to all hosts. */
TEST(load_reporter, reports_only_lasting_changes) {
    load_reporter report{fast};
    duration used{0};
    time_point now{1h};
    int reports = 0;
    std::uint32_t last = 0;
    for (int second = 0; second < 60; ++second) {
        now += 1s;
        used += second < 30 ? 100ms + (second % 2) * 20ms : 200ms;
        if (const auto load = report.observe(now, used)) {
            ++reports;
            last = *load;
        }
    }
    EXPECT_LE(reports, 5);
    EXPECT_NEAR(last, 200, 40);
}

TEST(load_reporter, reports_nothing_without_a_capacity) {
    load_reporter report{0};
    EXPECT_FALSE(report.observe(time_point{1h}, 0ms));
    EXPECT_FALSE(report.observe(time_point{1h} + 5s, 5s));
}

} // namespace
} // namespace tamarack
