#include "team_limit_site.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

/** @return this many teams with a limit of this many requests a second */
std::vector<team_limit> teams_of(std::size_t count, double per_second = 7.0) {
    std::vector<team> teams(count);
    for (std::size_t number = 0; number < count; ++number) {
        teams[number].name = "team-" + std::to_string(number);
        teams[number].requests_per_second = per_second;
        teams[number].burst = per_second;
    }
    return number_teams(teams);
}

/** 10 teams that stay far below the smallest limit in use, at 78 hosts in contact with a server. */
class team_limits : public ::testing::TestWithParam<std::uint64_t> {
protected:
    team_limit_site m_site{78, GetParam()};

    void start(std::size_t teams = 10, double rate = 1.5, double limit = 7.0) {
        m_site.set_limits(teams_of(teams, limit));
        offer(rate);
        m_site.lead(0, 0);
        m_site.run(10s);
    }
    void offer(double rate) {
        for (const team_limit& limit : m_site.limits) {
            m_site.offered[limit.team] = rate;
        }
    }
    std::size_t refused() const {
        std::size_t sum = 0;
        for (const auto& [team, counts] : m_site.seen) {
            sum += counts.refused;
        }
        return sum;
    }
    double worst(time_point from = {}) {
        double most = 0.0;
        for (const team_limit& limit : m_site.limits) {
            most = std::max(most, m_site.worst(limit, from));
        }
        RecordProperty("worst", std::to_string(most));
        return most;
    }
    /** @return requests of a team that were admitted since `from`, a second */
    double served(const team_limit& limit, time_point from) {
        const auto& times = m_site.seen[limit.team].admitted;
        const auto count = std::ranges::count_if(times, [from](time_point at) { return at >= from; });
        return static_cast<double>(count) / std::chrono::duration<double>(m_site.now - from).count();
    }
};

/** Guards against the refusal of teams within their limits. */
TEST_P(team_limits, teams_within_their_limits_are_not_refused_in_calm) {
    start(79);
    const std::size_t before = refused();
    m_site.run(30s);
    EXPECT_EQ(refused(), before);
    EXPECT_LE(worst(), 1.0);
}

/** Guards against a surge that is admitted by many hosts, each of which sees little of it, and against the
 * loss of the part within the limit. */
TEST_P(team_limits, team_at_seven_times_its_limit_gets_its_limit) {
    start();
    const time_point from = m_site.now;
    m_site.offered[m_site.limits[0].team] = 49.0;
    m_site.run(20s);
    EXPECT_LE(worst(), 1.0);
    EXPECT_GE(served(m_site.limits[0], from), 0.9 * 7.0);
}

/** Guards against hosts that take a team for open because they came into contact after it became metered.
 * With a burst of one request a team often changes its state. */
TEST_P(team_limits, hosts_that_missed_an_announcement_are_told) {
    auto limits = teams_of(2, 3.0);
    limits[0].burst = limits[1].burst = 1.0;
    m_site.set_limits(limits);
    offer(0.6);
    m_site.lead(0, 0);
    m_site.run(10s);
    offer(21.0);
    m_site.run(10s);
    EXPECT_LE(worst(), 1.0);
}

/** Guards against too much use while the leader is lost, while its successor waits, and afterwards. */
TEST_P(team_limits, leader_lost) {
    start();
    offer(49.0);
    m_site.run(2s);
    m_site.end_server(0);
    m_site.run(2s);
    m_site.lead(1, 0);
    const time_point from = m_site.now;
    m_site.run(12s);
    EXPECT_LE(worst(), 1.0);
    EXPECT_GE(served(m_site.limits[0], from + 5s), 0.8 * 7.0);
}

/** Guards against hosts that stay without tokens once the successor grants them. */
TEST_P(team_limits, teams_within_their_limits_are_served_after_a_change_of_the_leader) {
    start(79);
    m_site.end_server(0);
    m_site.run(2s);
    m_site.lead(1, 0);
    m_site.run(3s);
    const std::size_t before = refused();
    m_site.run(5s);
    const double offered = 79 * 1.5 * 5;
    EXPECT_LE(static_cast<double>(refused() - before), 0.2 * offered);
}

/** Guards against two servers that grant at the same time: the old one until its lease ends. */
TEST_P(team_limits, leader_cut_off_with_a_part_of_the_hosts) {
    start();
    offer(49.0);
    for (std::size_t host = 0; host < 26; ++host) {
        m_site.move(host, 1);
    }
    m_site.run_until_lease_ends(0);
    m_site.lead(40, 0);
    m_site.run(12s);
    for (std::size_t host = 0; host < 26; ++host) {
        m_site.move(host, 0);
    }
    m_site.run(6s);
    EXPECT_LE(worst(), 1.0);
}

/** Guards against use in the part without a leader, in addition to the whole limit in the other part. */
TEST_P(team_limits, halves_apart) {
    start();
    offer(49.0);
    for (std::size_t host = 39; host < 78; ++host) {
        m_site.move(host, 1);
    }
    m_site.run(15s);
    for (std::size_t host = 39; host < 78; ++host) {
        m_site.move(host, 0);
    }
    m_site.run(8s);
    EXPECT_LE(worst(), 1.0);
}

/** Guards against hosts that know nothing about the use before their start. */
TEST_P(team_limits, all_hosts_started_anew) {
    start();
    offer(49.0);
    m_site.run(3s);
    m_site.end_server(0);
    for (std::size_t host = 0; host < m_site.hosts(); ++host) {
        m_site.restart(host);
    }
    m_site.run(1s);
    m_site.lead(2, 0);
    m_site.run(10s);
    EXPECT_LE(worst(), 1.0);
}

/** Guards against the use of the previous limit by hosts that were cut off, once they are in contact. */
TEST_P(team_limits, limit_lowered_while_hosts_are_cut_off) {
    start(10, 1.5, 70.0);
    offer(49.0);
    for (std::size_t host = 52; host < 78; ++host) {
        m_site.move(host, 1);
    }
    const auto lowered = teams_of(10, 7.0);
    m_site.set_limits(lowered, [](std::size_t host) { return host < 52; });
    m_site.run(8s);
    for (std::size_t host = 52; host < 78; ++host) {
        m_site.move(host, 0);
    }
    m_site.set_limits(lowered);
    const time_point binding = m_site.now + 4s;
    m_site.run(15s);
    EXPECT_LE(worst(binding), 1.0);
}

/** Guards against loss of the bound or of requests on a network that loses messages. */
TEST_P(team_limits, messages_are_lost) {
    start();
    m_site.lost_part = 0.05;
    m_site.offered[m_site.limits[0].team] = 49.0;
    m_site.run(20s);
    EXPECT_LE(worst(), 1.0);
}

INSTANTIATE_TEST_SUITE_P(seeds, team_limits, ::testing::Range<std::uint64_t>(1, 9));

/** Guards against state and work that grow with all teams instead of with those in use. */
TEST(team_limit_size, five_thousand_teams) {
    team_limit_site site{78, 5};
    site.set_limits(teams_of(5'000));
    for (const team_limit& limit : site.limits) {
        site.offered[limit.team] = 0.1;
    }
    site.lead(0, 0);
    site.run(8s);
    std::size_t before = 0;
    std::size_t after = 0;
    for (const auto& [team, counts] : site.seen) {
        before += counts.refused;
    }
    site.offered[site.limits[0].team] = 49.0;
    site.run(8s);
    for (const auto& [team, counts] : site.seen) {
        after += team == site.limits[0].team ? 0 : counts.refused;
    }
    EXPECT_LE(after, before);
    EXPECT_LE(site.worst(site.limits[0]), 1.0);
}

} // namespace
} // namespace tamarack
