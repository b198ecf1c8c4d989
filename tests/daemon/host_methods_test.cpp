#include "hosts/host_methods.h"

#include <gtest/gtest.h>

#include <vector>

namespace tamarack {
namespace {

TEST(host_methods, messages_survive_a_round_trip) {
    const auto identity = decode_identity(
        encode_identity({{host_id{"a"}, incarnation_id{~std::uint64_t{0}}}, data_center_id{"dc"}}));
    ASSERT_TRUE(succeeded(identity));
    EXPECT_EQ(value_of(identity).member.incarnation.value, ~std::uint64_t{0});
    EXPECT_EQ(value_of(identity).data_center, data_center_id{"dc"});
    const auto inquiry =
        decode_inquiry(encode_inquiry({host_id{"a"}, endpoint{"10.0.0.1:80"}, ticket_number{7}}));
    ASSERT_TRUE(succeeded(inquiry));
    EXPECT_EQ(value_of(inquiry).reply_to, endpoint{"10.0.0.1:80"});
    EXPECT_EQ(value_of(inquiry).held_ticket, ticket_number{7});
    const auto quarantine =
        decode_quarantine(encode_quarantine({digest{"ab"}, 1500ms, {target_id{"t"}, incarnation_id{7}}}));
    ASSERT_TRUE(succeeded(quarantine));
    EXPECT_EQ(value_of(quarantine).lost, (target_incarnation{target_id{"t"}, incarnation_id{7}}));
    EXPECT_EQ(value_of(quarantine).content.hex(), "ab");
    EXPECT_EQ(value_of(quarantine).age, 1500ms);
}

TEST(host_methods, carries_a_request_limit_and_its_end) {
    const target_incarnation target{target_id{"t"}, incarnation_id{7}};
    const auto stated = decode_request_limit(encode_request_limit({target, 30.4, 1500ms}));
    ASSERT_TRUE(succeeded(stated));
    EXPECT_EQ(value_of(stated).target, target);
    EXPECT_EQ(value_of(stated).per_second, 30.4);
    EXPECT_EQ(value_of(stated).age, 1500ms);
    const auto lifted = decode_request_limit(encode_request_limit({target, std::nullopt, 0ms}));
    ASSERT_TRUE(succeeded(lifted));
    EXPECT_FALSE(value_of(lifted).per_second);
    Json::Value negative = encode_request_limit({target, 1.0, 0ms});
    negative["per_second"] = -1.0;
    EXPECT_FALSE(succeeded(decode_request_limit(negative)));
}

host_method_handlers handlers_that_ignore_messages() {
    host_method_handlers handlers;
    handlers.raft = [](const raft_envelope&) {};
    handlers.control = [](const control_message&) {};
    handlers.membership = [](const membership_message&) {};
    handlers.quarantine = [](const quarantine_notice&) {};
    handlers.request_limit = [](const request_limit_notice&) {};
    handlers.team_use_report = [](const team_use&) {};
    handlers.team_limit_grant = [](const team_grant&) {};
    handlers.identity = [](const host_identity&) {};
    handlers.inquiry = [](const configuration_inquiry&) {};
    handlers.unreadable = [](const std::string&, const error&) {};
    return handlers;
}

TEST(host_methods, reports_malformed_notifications_and_calls_no_handler) {
    host_dispatcher dispatcher;
    std::vector<std::string> unreadable;
    host_method_handlers handlers;
    handlers.raft = [](const raft_envelope&) { FAIL(); };
    handlers.control = [](const control_message&) { FAIL(); };
    handlers.membership = [](const membership_message&) { FAIL(); };
    handlers.quarantine = [](const quarantine_notice&) { FAIL(); };
    handlers.request_limit = [](const request_limit_notice&) { FAIL(); };
    handlers.team_use_report = [](const team_use&) { FAIL(); };
    handlers.team_limit_grant = [](const team_grant&) { FAIL(); };
    handlers.identity = [](const host_identity&) { FAIL(); };
    handlers.inquiry = [](const configuration_inquiry&) { FAIL(); };
    handlers.unreadable = [&](const std::string& method, const error&) { unreadable.push_back(method); };
    register_host_methods(dispatcher, handlers);
    const std::vector<std::string> methods{raft_method,       control_method,       membership_method,
                                           quarantine_method, request_limit_method, identity_method,
                                           inquiry_method,    team_use_method,      team_grant_method};
    for (const std::string& method : methods) {
        dispatcher.dispatch(R"({"jsonrpc":"2.0","method":")" + method + R"(","params":{"life":"x"}})");
    }
    EXPECT_EQ(unreadable, methods);
}

/** Guards against a message that ends the process of each host that receives it. */
TEST(host_methods, survives_nested_messages_and_parameters_of_another_type) {
    host_dispatcher dispatcher;
    register_host_methods(dispatcher, handlers_that_ignore_messages());
    for (const char* parameters : {"[]", "[1]", "\"x\"", "7", "null", "[{}]"}) {
        dispatcher.dispatch(R"({"jsonrpc":"2.0","method":")" + quarantine_method + R"(","params":)" +
                            parameters + "}");
    }
    for (const std::size_t depth : {500U, 2'000U, 100'000U}) {
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        dispatcher.dispatch(nested);
        dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"x","params":{"a":)" + nested + "}}");
    }
}

} // namespace
} // namespace tamarack
