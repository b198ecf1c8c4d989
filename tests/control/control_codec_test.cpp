#include <tamarack_control/tamarack_control.h>

#include "tickets/sample_tickets.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

TEST(control_command, reads_what_it_writes) {
    const std::vector<control_change> changes{
        sample_ticket(3),
        claim{service_id{"s"}, idempotency_key{"k"}, digest_of("b"), wall_time{1}, host_id{"h"},
              incarnation_id{2}, 3},
        claim_result{service_id{"s"}, idempotency_key{"k"}, 3, run_result::answered, "reply", false},
        assignment{4, {{service_id{"s"}, {host_id{"h"}}}}},
        evacuation_order{data_center_id{"a"}, true},
        evacuation_order{data_center_id{"a"}, false}};
    for (const auto& change : changes) {
        const auto read = decode_command(encode_command({wall_time{9}, change}));
        ASSERT_TRUE(succeeded(read));
        EXPECT_EQ(value_of(read).proposed_at, wall_time{9});
        EXPECT_EQ(value_of(read).change, change);
    }
}

/** A ticket as large as a configuration of the users' platform with a thousand routes. */
ticket large_ticket() {
    ticket result = sample_ticket(3);
    for (int number = 1'000; number < 2'000; ++number) {
        service_definition service = result.services.front();
        service.id = service_id{"service-" + std::to_string(number)};
        result.services.push_back(std::move(service));
    }
    return result;
}

/** Guards against control hosts that run out of memory, and against log entries that no message between hosts
 * can hold: a ticket can contain a whole configuration. */
TEST(control_command, compresses_large_tickets) {
    const ticket large = large_ticket();
    const std::string text = encode_command({wall_time{9}, large});
    EXPECT_LT(text.size(), write_json(encode_ticket(large)).size() / 5);
    const auto read = decode_command(text);
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(value_of(read).change, control_change{large});
    EXPECT_FALSE(succeeded(decode_command(text.substr(0, text.size() / 2))));
}

TEST(control_command, reads_large_tickets_of_earlier_versions) {
    const ticket large = large_ticket();
    const std::string text =
        R"({"proposed_at":9,"kind":"ticket","change":)" + write_json(encode_ticket(large)) + "}";
    const auto read = decode_command(text);
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(value_of(read).change, control_change{large});
}

TEST(control_command, refuses_other_text) {
    for (const std::string text : {"", "{}", R"({"proposed_at":1,"kind":"party","change":{}})",
                                   R"({"proposed_at":-1,"kind":"ticket","change":{"number":1}})",
                                   R"({"proposed_at":1,"kind":"claim","change":{}})"}) {
        EXPECT_FALSE(succeeded(decode_command(text))) << text;
    }
}

TEST(control_message, refuses_unknown_kinds_and_members) {
    Json::Value json = encode_control_message(announce_update{host_id{"c0"}, ticket_number{1}, 2, 2});
    EXPECT_TRUE(succeeded(decode_control_message(json)));
    json["more"] = 1;
    EXPECT_FALSE(succeeded(decode_control_message(json)));
    json = encode_control_message(release_lease{host_id{"e0"}, incarnation_id{1}});
    json["kind"] = "lend_lease";
    EXPECT_FALSE(succeeded(decode_control_message(json)));
    EXPECT_FALSE(succeeded(decode_control_message(Json::Value{1})));
}

TEST(control_state, is_the_same_after_saving_and_restoring) {
    control_state state;
    state.apply({wall_time{1}, sample_ticket(3)});
    state.apply({wall_time{2}, assignment{1, {{service_id{"finder"}, {host_id{"h"}}}}}});
    state.apply({wall_time{3}, assignment{3, {}}});
    EXPECT_EQ(state.assigned().epoch, 1U) << "an epoch counts only as the successor of the present one";
    control_state restored;
    ASSERT_TRUE(succeeded(restored.restore(state.save())));
    EXPECT_EQ(restored.save(), state.save());
    EXPECT_FALSE(succeeded(restored.restore("{}")));
    EXPECT_FALSE(succeeded(restored.restore(state.save().substr(0, 200))));
    control_state later;
    later.apply({wall_time{1}, sample_ticket(9)});
    EXPECT_FALSE(succeeded(restored.restore(later.save() + "not a claim\n")));
    EXPECT_EQ(restored.save(), state.save());
}

/** Guards against control hosts that run out of memory: a saved state holds the last configurations. */
TEST(control_state, is_compressed_when_it_holds_large_tickets) {
    control_state state;
    state.apply({wall_time{1}, large_ticket()});
    const std::string saved = state.save();
    EXPECT_LT(saved.size(), write_json(encode_ticket(large_ticket())).size() / 5);
    control_state restored;
    ASSERT_TRUE(succeeded(restored.restore(saved)));
    EXPECT_EQ(restored.tickets().current(), state.tickets().current());
    EXPECT_FALSE(succeeded(restored.restore(saved.substr(0, saved.size() / 2))));
    EXPECT_EQ(restored.save(), saved);
}

} // namespace
} // namespace tamarack
