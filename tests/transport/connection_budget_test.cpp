#include <tamarack_transport/http/connection_budget.h>

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace tamarack {
namespace {

constexpr std::size_t limit = 1 * mebibyte;
constexpr std::size_t large = 100 * kibibyte;
constexpr std::size_t small = 10 * kibibyte;

/** Connections of a server, and those that were ended, in order. */
struct budget_world {
    std::vector<const budget_holder*> ended;
    std::deque<budget_holder> holders;
    connection_budget budget{limit, [this](budget_holder& holder) { ended.push_back(&holder); }};
    time_point now{};

    /** Begins a connection that holds some bytes. @return the connection, or nullptr if it was refused */
    budget_holder* open(std::size_t bytes) {
        budget_holder& holder = holders.emplace_back();
        budget.begin(holder, now);
        return budget.resize(holder, bytes, now) ? &holder : nullptr;
    }
};

/** Guards against stalled large requests that take all memory: small ones keep an eighth of it. */
TEST(connection_budget, keeps_an_eighth_for_small_connections) {
    budget_world world;
    while (world.open(large) != nullptr) {
    }
    EXPECT_LE(world.budget.held_bytes(), limit / 8 * 7);
    EXPECT_TRUE(world.ended.empty())
        << "connections younger than the grace period are not ended for large ones";
    EXPECT_NE(world.open(small), nullptr);
    EXPECT_TRUE(world.ended.empty());
}

/** Guards against a crowd that stays open and locks out later large requests. */
TEST(connection_budget, ends_the_oldest_connections_for_a_large_one) {
    budget_world world;
    const budget_holder* const oldest = world.open(large);
    world.now += 1ms;
    while (world.open(large) != nullptr) {
    }
    world.now += connection_budget::grace - 1ms;
    EXPECT_NE(world.open(large), nullptr);
    EXPECT_EQ(world.ended, std::vector<const budget_holder*>{oldest});
}

/** Guards against a crowd of small connections, of which each new one must still be served. */
TEST(connection_budget, always_admits_a_small_connection) {
    budget_world world;
    for (std::size_t opened = 0; opened < 3 * limit / small; ++opened) {
        ASSERT_NE(world.open(small), nullptr);
        ASSERT_LE(world.budget.held_bytes(), limit);
    }
    EXPECT_EQ(world.ended.front(), &world.holders.front());
}

TEST(connection_budget, ends_large_connections_before_small_ones) {
    budget_world world;
    const budget_holder* const first_small = world.open(small);
    while (world.open(large) != nullptr) {
    }
    while (world.ended.empty()) {
        ASSERT_NE(world.open(small), nullptr);
    }
    EXPECT_NE(world.ended.front(), first_small);
    EXPECT_EQ(world.ended.front(), &world.holders[1]) << "the oldest large one";
}

/** Guards against a refusal of a request that has been passed on, which would not be "not run". */
TEST(connection_budget, never_ends_a_connection_whose_request_is_handled) {
    budget_world world;
    while (budget_holder* const opened = world.open(large)) {
        connection_budget::finish(*opened);
    }
    world.now += 10 * connection_budget::grace;
    world.budget.release(world.holders.back());
    EXPECT_EQ(world.open(large), nullptr);
    EXPECT_TRUE(world.ended.empty());
}

TEST(connection_budget, counts_growth_shrinkage_and_release) {
    budget_world world;
    budget_holder* const holder = world.open(small);
    EXPECT_TRUE(world.budget.resize(*holder, large, world.now));
    EXPECT_TRUE(world.budget.resize(*holder, small, world.now));
    EXPECT_EQ(world.budget.held_bytes(), small);
    world.budget.release(*holder);
    EXPECT_EQ(world.budget.held_bytes(), 0U);
}

} // namespace
} // namespace tamarack
