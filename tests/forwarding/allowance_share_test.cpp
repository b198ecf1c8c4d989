#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

namespace tamarack {
namespace {

constexpr time_point start{1h};
constexpr duration window = 10s;
constexpr duration settling_time = window + allowance_share::propagation_time;

std::vector<host_id> host_ids(std::initializer_list<const char*> names) {
    std::vector<host_id> hosts;
    for (const char* name : names) {
        hosts.emplace_back(name);
    }
    return hosts;
}

TEST(allowance_share, a_host_that_has_just_started_has_nothing_to_spend) {
    allowance_share share{host_id{"a"}, window};
    share.on_sharing_hosts(start, {host_ids({"a", "b"}), {}});
    EXPECT_EQ(share.part(start).at(start + settling_time - 1ms), 0.0);
    EXPECT_EQ(share.part(start + settling_time).at(start + settling_time), 0.5);
}

TEST(allowance_share, no_host_waits_at_the_first_start_of_the_system) {
    allowance_share share{host_id{"a"}, window, earlier_processes::none};
    share.on_sharing_hosts(start, {host_ids({"a", "b"}), {}});
    EXPECT_EQ(share.part(start).at(start), 0.25) << "more hosts may start";
    EXPECT_EQ(share.part(start + settling_time).at(start + settling_time), 0.5);
    share.on_sharing_hosts(start + 1min, {host_ids({"b"}), {}});
    share.on_sharing_hosts(start + 2min, {host_ids({"a", "b"}), {}});
    EXPECT_EQ(share.part(start + 2min).at(start + 2min), 0.0) << "it was absent in between";
}

TEST(allowance_share, counts_a_departed_host_until_its_spending_has_left_the_window) {
    allowance_share share{host_id{"a"}, window};
    share.on_sharing_hosts(start, {host_ids({"a", "b"}), {}});
    share.on_sharing_hosts(start + 20s, {host_ids({"a"}), {}});
    EXPECT_EQ(share.part(start + 20s + settling_time).at(start + 20s + settling_time), 0.5);
    EXPECT_EQ(share.part(start + 20s + settling_time + 1ms).at(start + 20s + settling_time + 1ms), 1.0);
}

TEST(allowance_share, a_host_activated_from_standby_waits_like_a_new_one) {
    allowance_share share{host_id{"b"}, window};
    share.on_sharing_hosts(start, {host_ids({"a"}), host_ids({"b"})});
    EXPECT_NEAR(share.part(start + 1min).at(start + 1min), 0.2, 1e-9);
    share.on_sharing_hosts(start + 1min, {host_ids({"a", "b"}), {}});
    EXPECT_EQ(share.part(start + 1min + settling_time - 1ms).at(start + 1min + settling_time - 1ms), 0.0);
}

/** Hosts start, stop and restart at random; each learns of it up to 2 s later and spends its whole part. */
class random_fleet {
public:
    explicit random_fleet(std::uint64_t seed) : m_random(seed) {
        for (std::size_t host = 0; host < max_hosts; ++host) {
            m_hosts[host].running = true;
        }
    }

    void run(duration length) {
        for (m_now = start; m_now < start + length; m_now += step) {
            if (m_random.chance(change_probability)) {
                change(m_random.below(max_hosts));
            }
            m_history.emplace_back(m_now, running());
            while (m_history.front().first < m_now - max_delay) {
                m_history.pop_front();
            }
            for (std::size_t host = 0; host < max_hosts; ++host) {
                spend(host);
            }
        }
    }

    /** @return maximum fraction of the allowance that was spent in one window */
    double max_spent() const {
        double most = 0.0;
        double sum = 0.0;
        std::size_t first = 0;
        for (const auto& [at, fraction] : m_spent) {
            sum += fraction;
            while (m_spent[first].first <= at - window) {
                sum -= m_spent[first++].second;
            }
            most = std::max(most, sum);
        }
        return most;
    }

private:
    static constexpr std::size_t max_hosts = 12;
    static constexpr duration step = 100ms;
    static constexpr duration max_delay = 2s;
    static constexpr double change_probability = 0.04;

    struct fleet_host {
        bool running = false;
        std::optional<allowance_share> share;
        duration delay{};
        std::deque<std::pair<time_point, double>> spent; ///< spending within the window
    };

    static host_id name(std::size_t host) { return host_id{"host-" + std::to_string(host)}; }

    std::vector<host_id> running() const {
        std::vector<host_id> names;
        for (std::size_t host = 0; host < max_hosts; ++host) {
            if (m_hosts[host].running) {
                names.push_back(name(host));
            }
        }
        return names;
    }

    void change(std::size_t host) {
        m_hosts[host].running = !m_hosts[host].running || m_random.chance(0.5);
        m_hosts[host].share.reset();
        m_hosts[host].spent.clear();
    }

    void spend(std::size_t host) {
        fleet_host& own = m_hosts[host];
        if (!own.running) {
            return;
        }
        if (!own.share) {
            own.share.emplace(name(host), window);
            own.delay = m_random.between(duration{0}, max_delay);
        }
        std::vector<host_id> seen = m_history.front().second;
        for (const auto& [at, names] : m_history) {
            seen = at <= m_now - own.delay ? names : seen;
        }
        if (std::ranges::find(seen, name(host)) == seen.end()) {
            seen.push_back(name(host));
        }
        own.share->on_sharing_hosts(m_now, {seen, {}});
        while (!own.spent.empty() && own.spent.front().first <= m_now - window) {
            own.spent.pop_front();
        }
        double within = 0.0;
        for (const auto& [at, fraction] : own.spent) {
            within += fraction;
        }
        const double left = own.share->part(m_now).at(m_now) - within;
        if (left > 0.0 && m_random.chance(0.2)) {
            own.spent.emplace_back(m_now, left);
            m_spent.emplace_back(m_now, left);
        }
    }

    random_source m_random;
    time_point m_now{};
    std::array<fleet_host, max_hosts> m_hosts;
    std::deque<std::pair<time_point, std::vector<host_id>>> m_history;
    std::vector<std::pair<time_point, double>> m_spent;
};

TEST(allowance_share, parts_spent_in_one_window_never_exceed_the_whole) {
    double most = 0.0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random_fleet fleet{seed};
        fleet.run(3min);
        EXPECT_LE(fleet.max_spent(), 1.0 + 1e-9) << "seed " << seed;
        most = std::max(most, fleet.max_spent());
    }
    EXPECT_GT(most, 0.5) << "hosts that keep running spend most of the allowance";
}

} // namespace
} // namespace tamarack
