#include <tamarack_teams/tamarack_teams.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

std::shared_ptr<const route_table> table_of(std::size_t teams, std::size_t keys_per_team) {
    auto table = std::make_shared<route_table>();
    table->requires_keys = true;
    for (std::size_t number = 0; number < teams; ++number) {
        team item;
        item.name = "team-" + std::to_string(number);
        for (std::size_t key = 0; key < keys_per_team; ++key) {
            item.keys.push_back("key-" + std::to_string(number) + "-" + std::to_string(key));
        }
        table->teams.push_back(std::move(item));
    }
    return table;
}

/** Guards against a key that is attributed to another team, or to none. */
TEST(team_index, finds_the_holder_of_each_of_20000_keys) {
    const auto table = table_of(5'000, 4);
    const team_index index{table, 7};
    for (const team& item : table->teams) {
        for (const std::string& key : item.keys) {
            ASSERT_EQ(index.find(key), &item) << key;
        }
    }
}

/** Guards against a guessed key that is accepted because it resembles a valid one. */
TEST(team_index, finds_no_team_for_parts_of_a_key_or_longer_ones) {
    const team_index index{table_of(3, 2), 7};
    for (const char* key : {"", "key-1-", "key-1-1x", "Key-1-1", "key-3-0"}) {
        EXPECT_EQ(index.find(key), nullptr) << key;
    }
}

TEST(team_index, finds_no_team_if_there_is_none) {
    EXPECT_EQ(team_index(table_of(0, 0), 7).find("key"), nullptr);
}

} // namespace
} // namespace tamarack
