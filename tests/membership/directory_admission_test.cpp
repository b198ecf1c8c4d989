#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace tamarack {
namespace {

constexpr time_point start{10s};

route route_to(route_destination destination, std::vector<std::string> services, double least_coverage) {
    route result;
    result.destination = destination;
    result.least_coverage = least_coverage;
    for (std::string& service : services) {
        result.services.push_back({service_id{std::move(service)}, 1});
    }
    return result;
}

/** Two routes, and a set of shards that no route uses any more. */
struct directory_admission_test : ::testing::Test {
    directory_admission m_admission;
    route_table m_routes;
    std::set<std::string> m_with_targets;
    bool m_others_listed = false;
    bool m_confirmed = true;

    directory_admission_test() {
        m_routes.routes = {route_to(route_destination::shards, {"s1", "s2", "s3"}, 0.6),
                           route_to(route_destination::service, {"orders"}, 1.0)};
        for (const char* service : {"s1", "s2", "s3", "orders", "replaced"}) {
            m_routes.services.push_back({service_id{service}, "/health", 1});
        }
    }

    bool may_enter(time_point now, bool routes_known = true) {
        directory_admission_inputs inputs;
        inputs.routes = routes_known ? &m_routes : nullptr;
        inputs.routes_confirmed = m_confirmed;
        inputs.has_targets = [this](const service_id& service) {
            return m_with_targets.contains(service.value());
        };
        inputs.others_listed = m_others_listed;
        return m_admission.may_enter(now, inputs);
    }
};

TEST_F(directory_admission_test, waits_for_a_route_table) {
    m_with_targets = {"s1", "s2", "s3", "orders", "replaced"};
    EXPECT_FALSE(may_enter(start, false));
    EXPECT_TRUE(may_enter(start));
}

/** Load pattern: all hosts restart at once after several tickets; what is on the disks may be an older one.
 */
TEST_F(directory_admission_test, waits_until_the_control_hosts_have_confirmed_the_ticket) {
    m_confirmed = false;
    m_with_targets = {"s1", "s2", "s3", "orders"};
    EXPECT_FALSE(may_enter(start));
    EXPECT_FALSE(may_enter(start + 1s));
    m_confirmed = true;
    EXPECT_TRUE(may_enter(start + 1s));
}

TEST_F(directory_admission_test, does_not_wait_for_control_hosts_that_are_out_of_reach) {
    m_confirmed = false;
    m_with_targets = {"s1", "s2", "s3", "orders"};
    EXPECT_FALSE(may_enter(start));
    EXPECT_TRUE(may_enter(start + 2s));
}

/** Load pattern: all hosts restart at once, after the index was cut into other shards. */
TEST_F(directory_admission_test, does_not_wait_for_services_that_no_route_uses) {
    m_others_listed = true;
    m_with_targets = {"s1", "s2", "orders"};
    EXPECT_TRUE(may_enter(start));
}

TEST_F(directory_admission_test, waits_for_all_routes_while_other_hosts_are_listed) {
    m_others_listed = true;
    m_with_targets = {"s1", "orders"};
    EXPECT_FALSE(may_enter(start));
    m_with_targets = {"s1", "s2"};
    EXPECT_FALSE(may_enter(start + 1s));
    EXPECT_TRUE(may_enter(start + 2s)) << "a service may have no targets at all";
}

/** Load pattern: all hosts restart at once while all replicas of one service are down. */
TEST_F(directory_admission_test, needs_one_route_only_while_no_other_host_is_listed) {
    EXPECT_FALSE(may_enter(start));
    m_with_targets = {"orders"};
    EXPECT_TRUE(may_enter(start));
}

} // namespace
} // namespace tamarack
