#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

host_record example_host(std::size_t number) {
    host_record record;
    record.host = host_id{"host\t" + std::to_string(number) + "\\n"};
    record.incarnation = incarnation_id{0xffff'ffff'ffff'ffffULL};
    record.version = 7;
    record.state = host_state::suspect;
    record.draining = number % 2 == 0;
    record.data_center = data_center_id{"dc"};
    record.hosts_address = endpoint{"10.0.0.1:7740"};
    record.callers_address = endpoint{number % 3 == 0 ? "" : "10.0.0.1:80"};
    record.control = number % 3 == 0;
    record.capacity = 120;
    record.load = 3;
    return record;
}

target_record example_target(std::size_t number) {
    target_record record;
    record.latest.target = target_id{"t-" + std::to_string(number)};
    record.latest.incarnation = incarnation_id{number + 1};
    record.latest.sequence = 12;
    record.latest.address = endpoint{"10.1.0.1:80"};
    record.latest.data_center = data_center_id{"dc\nx"};
    record.latest.service = service_id{"finder"};
    record.latest.shard = shard_id{number % 2 == 0 ? "" : "s1"};
    record.latest.versions.resize(number % 3, {index_version{"v1"}, "map"});
    record.latest.slots = 5;
    record.latest.connections = 40;
    record.latest.state = target_state::draining;
    record.latest.remaining_warmup = 1500ms;
    record.registrar = host_id{number % 2 == 0 ? "" : "host"};
    record.alive = true;
    record.version = 25;
    record.incarnation_order = 2;
    return record;
}

membership_updates example_updates(std::size_t records) {
    membership_updates updates;
    for (std::size_t number = 0; number < records; ++number) {
        updates.hosts.push_back(example_host(number));
        updates.targets.push_back(example_target(number));
    }
    return updates;
}

TEST(update_text, decodes_what_was_encoded) {
    for (const std::size_t records : {0U, 1U, 7U}) {
        const auto back = read_updates(write_updates(example_updates(records)), 1'000);
        ASSERT_TRUE(succeeded(back));
        EXPECT_EQ(value_of(back), example_updates(records));
    }
}

TEST(update_text, many_records_are_packed_in_a_message_and_decoded_again) {
    const membership_message message = update_push{host_id{"a"}, example_updates(300)};
    const Json::Value json = encode_membership_message(message);
    EXPECT_TRUE(json.isMember("packed_news"));
    EXPECT_LT(json["packed_news"].asString().size(), 12'000U);
    const auto back = decode_membership_message(json);
    ASSERT_TRUE(succeeded(back));
    EXPECT_EQ(value_of(back), message);
}

/**
 * Each truncation and each changed character is either refused or decoded as some updates, without any
 * other effect.
 */
TEST(update_text, survives_damage_at_each_place) {
    const std::string text = write_updates(example_updates(2));
    for (std::size_t place = 0; place < text.size(); ++place) {
        if (text[place] != '\n') {
            EXPECT_FALSE(succeeded(read_updates(text.substr(0, place + 1), 1'000))) << place;
        }
        for (const char changed : {'\t', '\n', '\\', 'x', '9', '\0'}) {
            std::string damaged = text;
            damaged[place] = changed;
            (void)read_updates(damaged, 1'000);
        }
    }
}

TEST(update_text, refuses_more_records_than_the_bound) {
    EXPECT_FALSE(succeeded(read_updates(write_updates(example_updates(11)), 10)));
    EXPECT_TRUE(succeeded(read_updates(write_updates(example_updates(10)), 10)));
}

TEST(update_text, a_damaged_packed_message_is_refused) {
    Json::Value json = encode_membership_message(update_push{host_id{"a"}, example_updates(10)});
    json["packed_news"] = "AAAA" + json["packed_news"].asString();
    EXPECT_FALSE(succeeded(decode_membership_message(json)));
}

} // namespace
} // namespace tamarack
