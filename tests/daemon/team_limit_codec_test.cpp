#include "hosts/host_methods.h"

#include <gtest/gtest.h>

#include <set>

namespace tamarack {
namespace {

/** Guards against reports and answers that lose a member on their way. */
TEST(team_limit_codec, messages_survive_a_round_trip) {
    const team_use use{host_id{"a"},
                       1ULL << 50U,
                       true,
                       {{~team_number{0}, 1, 2, 3, 4, true}, {7, 1, 0, 0, 0, false}, {8, 0, 0, 0, 1, false}}};
    const auto read = decode_team_use(encode_team_use(use));
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(value_of(read), use);
    const team_grant grant{5, 6, 500ms, {{7, true, 3, 140ms}, {8, false, 0, 0ms}, {9, true, 0, 0ms}}};
    const auto granted = decode_team_grant(encode_team_grant(grant));
    ASSERT_TRUE(succeeded(granted));
    EXPECT_EQ(value_of(granted), grant);
    EXPECT_TRUE(succeeded(decode_team_use(encode_team_use({host_id{"a"}, 1, false, {}}))));
}

/** Guards against a message that ends the process, or grants what a server can't have granted. */
TEST(team_limit_codec, refuses_items_of_another_form) {
    Json::Value use = encode_team_use({host_id{"a"}, 1, false, {{7, 1, 0, 0, 0, false}}});
    const std::vector<Json::Value> wrong{Json::Value{"x"}, Json::Value{-1}, Json::Value{1.5}, Json::Value{},
                                         Json::Value{Json::objectValue}};
    for (const Json::Value& member : wrong) {
        use["use"][0] = Json::Value{Json::arrayValue};
        use["use"][0].append(7);
        use["use"][0].append(member);
        EXPECT_FALSE(succeeded(decode_team_use(use)));
    }
    use["use"] = "x";
    EXPECT_FALSE(succeeded(decode_team_use(use)));
    Json::Value grant = encode_team_grant({5, 6, 10s, {}});
    EXPECT_EQ(value_of(decode_team_grant(grant)).tokens_valid, team_limit_server::token_validity);
    grant["valid_ms"] = -1;
    EXPECT_FALSE(succeeded(decode_team_grant(grant)));
}

/** @return bytes a second that a host sends while 79 teams are active, encoded as on the network */
double bytes_per_second(std::size_t hosts, double requests_per_second) {
    constexpr std::size_t http_header_bytes = 150;
    std::vector<team> teams(79);
    for (std::size_t number = 0; number < teams.size(); ++number) {
        teams[number].name = "team-" + std::to_string(number);
        teams[number].requests_per_second = 4.0 * requests_per_second * static_cast<double>(hosts) / 79.0;
        teams[number].burst = teams[number].requests_per_second;
    }
    const std::vector<team_limit> limits = number_teams(teams);
    time_point now{1h};
    team_limit_server server{now - 10s, 1};
    server.set_hosts(hosts);
    server.set_limits(now, limits);
    team_limit_client client{now, host_id{"host-123.example"}, random_source{3}};
    client.set_limits(limits);
    std::vector<host_id> names;
    for (std::size_t number = 0; number < hosts; ++number) {
        names.emplace_back("host-" + std::to_string(number));
        server.on_use(now, {names.back(), 1, true, {}});
    }
    client.set_hosts(names);
    random_source random{4};
    std::size_t bytes = 0;
    std::uint64_t request = 0;
    const time_point end = now + 22s;
    for (time_point arrival = now; now < end; now += 1ms) {
        for (; arrival <= now; arrival += random.exponential(std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double>(1.0 / requests_per_second)))) {
            client.request(now, limits[random.below(limits.size())].team, ++request, 20ms);
        }
        if (now.time_since_epoch() % 1s == 0s) {
            for (const host_id& other : names) {
                server.on_use(now, {other, 2, true, {}});
            }
        }
        client.on_timer(now);
        if (const auto report = client.take_report(now)) {
            Json::Value notification;
            notification["jsonrpc"] = "2.0";
            notification["method"] = team_use_method;
            notification["params"] = encode_team_use(*report);
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            // After the first contact all teams are metered for a second; this is about the time after it.
            const bool counts = now >= end - 20s;
            bytes += counts ? http_header_bytes + Json::writeString(builder, notification).size() : 0;
            if (const auto grant = server.on_use(now, *report)) {
                client.on_grant(now, *grant);
            }
        }
    }
    return static_cast<double>(bytes) / 20.0;
}

/** Guards against reports that take a noticeable part of a link of 20 Mbit/s, or of the leader's. */
TEST(team_limit_codec, a_host_reports_79_teams_with_less_than_1000_bytes_a_second) {
    for (const auto& [hosts, rate] : {std::pair{560U, 127.0}, std::pair{78U, 1.5}}) {
        const double sent = bytes_per_second(hosts, rate);
        RecordProperty("bytes_at_" + std::to_string(hosts) + "_" + std::to_string(rate),
                       std::to_string(sent));
        EXPECT_LT(sent, 1'000.0) << hosts;
    }
}

} // namespace
} // namespace tamarack
