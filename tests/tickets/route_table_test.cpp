#include <tamarack_tickets/tamarack_tickets.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

ticket with_routes() {
    ticket value;
    value.number = ticket_number{3};
    route_table table;
    table.services = {{service_id{"a"}, "/health", 26}, {service_id{"b"}, "/health", 26}};
    route shards;
    shards.name = "shards";
    shards.authority = "x.example";
    shards.prefix = "/s/";
    shards.destination = route_destination::shards;
    shards.services = {{service_id{"a"}, 1}, {service_id{"b"}, 1}};
    shards.attempts = 2;
    shards.timeout = 400ms;
    shards.objective = 40ms;
    shards.priority = 2;
    shards.result_limit = 5;
    shards.least_coverage = 0.75;
    route split = shards;
    split.name = "split";
    split.prefix = "/t/";
    split.destination = route_destination::split;
    split.services = {{service_id{"a"}, 7}, {service_id{"b"}, 3}};
    split.repeats = repeatability::at_most_once;
    split.result_limit = 0;
    split.least_coverage = 1.0;
    table.routes = {shards, split};
    table.limits = {16'384, 262'144, 3s, 15s};
    table.source = "{\"as\": \"sent\"}\n";
    value.routes = table;
    return value;
}

TEST(parts_needed, reaches_the_share_without_a_part_too_many) {
    EXPECT_EQ(parts_needed(0.89, 10), 9U);
    EXPECT_EQ(parts_needed(0.6, 5), 3U) << "0.6 * 5 is not exactly 3";
    EXPECT_EQ(parts_needed(1.0, 36), 36U);
    EXPECT_EQ(parts_needed(0.0, 4), 1U) << "an answer holds one part at least";
    EXPECT_EQ(parts_needed(0.5, 0), 1U) << "nothing can't be enough";
}

TEST(route_table_ticket, survives_its_encoding) {
    const ticket value = with_routes();
    const auto decoded = decode_ticket(encode_ticket(value));
    ASSERT_TRUE(succeeded(decoded)) << error_of(decoded).message;
    EXPECT_EQ(value_of(decoded), value);
}

TEST(route_table_ticket, survives_in_a_configuration) {
    const configuration applied = apply_ticket(with_routes(), {});
    const auto decoded = decode_configuration(encode_configuration(applied));
    ASSERT_TRUE(succeeded(decoded)) << error_of(decoded).message;
    EXPECT_EQ(value_of(decoded), applied);
}

TEST(route_table_ticket, a_ticket_without_routes_leaves_them_and_reads_as_before) {
    const configuration before = apply_ticket(with_routes(), {});
    ticket other;
    other.number = ticket_number{4};
    EXPECT_EQ(apply_ticket(other, before).routes, before.routes);
    EXPECT_FALSE(encode_ticket(other).isMember("routes"));
}

TEST(route_table_ticket, names_every_fault_at_once) {
    ticket value = with_routes();
    value.routes->routes[0].prefix = "no-slash";
    value.routes->routes[0].timeout = duration{0};
    value.routes->routes[0].services.push_back({service_id{"unknown"}, 1});
    value.routes->routes[1].services[0].weight = 0;
    value.routes->routes[1].services[1].weight = 0;
    value.routes->services.push_back(value.routes->services[0]);
    EXPECT_EQ(check_ticket(value, {}).size(), 5U);
    EXPECT_TRUE(check_ticket(with_routes(), {}).empty());
}

TEST(route_table_ticket, two_routes_with_the_same_authority_and_prefix_are_a_fault) {
    ticket value = with_routes();
    value.routes->routes[1].prefix = value.routes->routes[0].prefix;
    EXPECT_EQ(check_ticket(value, {}).size(), 1U);
}

TEST(route_table_ticket, the_source_counts_as_content) {
    ticket other = with_routes();
    other.routes->source += " ";
    EXPECT_NE(digest_of_ticket(with_routes()), digest_of_ticket(other));
}

TEST(route_table_ticket, differences_name_the_routes) {
    const configuration before = apply_ticket(with_routes(), {});
    ticket next = with_routes();
    next.number = ticket_number{4};
    next.routes->routes[0].attempts = 3;
    const auto lines = describe_difference(before, apply_ticket(next, before));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front(), "route x.example/s/: changed");
}

ticket with_teams() {
    ticket value = with_routes();
    value.routes->requires_keys = true;
    value.routes->teams = {{"divers", {"k1", "k2"}, 1U, 46.0, 46.0, {"north"}},
                           {"keepers", {}, {}, 0.0, 0.0, {}}};
    value.routes->routes.front().is_public = true;
    value.routes->routes.front().regions = {"north", "south"};
    value.routes->services.front().warmup_requests_per_second = 2.5;
    return value;
}

TEST(route_table_ticket, survives_its_encoding_with_teams) {
    const auto decoded = decode_ticket(encode_ticket(with_teams()));
    ASSERT_TRUE(succeeded(decoded)) << error_of(decoded).message;
    EXPECT_EQ(value_of(decoded), with_teams());
}

/** Guards against a configuration by which a request could belong to two teams, and against faults that print
 * a key. */
TEST(route_table_ticket, is_refused_if_teams_share_a_key_or_a_name) {
    ticket value = with_teams();
    value.routes->teams[1].keys = {"k2", ""};
    value.routes->teams[1].name = "divers";
    value.routes->teams[1].burst = -1.0;
    const ticket_faults faults = check_ticket(value, {});
    const ticket_faults expected = {
        {"routes.teams[1].name", "is the name of another team too"},
        {"routes.teams[1].burst", "must be from 0 to 1000000000"},
        {"routes.teams[1].keys[0]", "is a key of another team too"},
        {"routes.teams[1].keys[1]", "must be 1 to 8192 visible ASCII characters"},
    };
    EXPECT_EQ(faults, expected);
}

} // namespace
} // namespace tamarack
