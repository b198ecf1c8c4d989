#include <tamarack_control/tamarack_control.h>

#include "tickets/sample_tickets.h"

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1h};

control_client client_with_incarnation(std::uint64_t incarnation, std::size_t unrecorded_results = 10) {
    control_client_options options;
    options.self = host_id{"e0"};
    options.incarnation = incarnation_id{incarnation};
    options.control_hosts = {host_id{"c0"}, host_id{"c1"}};
    options.max_unrecorded_results = unrecorded_results;
    return {options, random_source{incarnation}, start};
}

/** @return the first message of a kind among the actions */
template <typename Message>
std::optional<Message> find_sent(const control_client_actions& actions) {
    for (const auto& action : actions) {
        const auto* sent = std::get_if<send_to_control>(&action);
        if (sent != nullptr && std::holds_alternative<Message>(sent->message)) {
            return std::get<Message>(sent->message);
        }
    }
    return std::nullopt;
}

template <typename Action>
std::size_t count_of(const control_client_actions& actions) {
    std::size_t count = 0;
    for (const auto& action : actions) {
        count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
}

lease_granted grant_for(const renew_lease& renewal) {
    lease_granted message;
    message.from = host_id{"c0"};
    message.grant = {renewal.renewal.number, ticket_number{1}, 0, 0};
    message.newer_configuration = std::make_shared<const configuration>(apply_ticket(sample_ticket(1), {}));
    return message;
}

TEST(control_client, ignores_a_grant_to_a_former_incarnation) {
    control_client former = client_with_incarnation(1);
    const auto old_renewal = find_sent<renew_lease>(former.on_timer(start));
    control_client present = client_with_incarnation(2);
    present.on_timer(start + 2s);
    present.on_message(start + 3s, grant_for(*old_renewal));
    EXPECT_FALSE(present.may_serve(start + 3s));
}

/** Guards against a large configuration that is discarded each time, since it arrives after the host has sent
 * many later renewals. */
TEST(control_client, takes_the_configuration_of_a_grant_that_is_too_late_for_its_lease) {
    control_client former = client_with_incarnation(1);
    const auto old_renewal = find_sent<renew_lease>(former.on_timer(start));
    control_client present = client_with_incarnation(2);
    present.on_timer(start + 2s);
    const auto actions = present.on_message(start + 3s, grant_for(*old_renewal));
    EXPECT_EQ(present.current().number, ticket_number{1});
    EXPECT_EQ(count_of<configuration_changed>(actions), 1U);
    EXPECT_FALSE(present.may_serve(start + 3s));
}

TEST(control_client, ignores_a_decision_for_a_former_incarnation) {
    control_client former = client_with_incarnation(1);
    const auto old_claim = find_sent<request_claim>(former.commit(start, 1, {}, start + 1s));
    control_client present = client_with_incarnation(2);
    present.commit(start, 1, {}, start + 1s);
    claim_answer granted;
    granted.verdict = claim_verdict::granted;
    const auto actions =
        present.on_message(start, claim_decided{host_id{"c0"}, old_claim->operation, granted});
    EXPECT_EQ(count_of<claim_answered>(actions), 0U);
}

TEST(control_client, accepts_no_claim_while_too_many_results_are_unrecorded) {
    control_client client = client_with_incarnation(1, 1);
    client.record(start, {service_id{"s"}, idempotency_key{"k"}, 1, run_result::answered, "", false});
    const auto actions = client.commit(start, 7, {}, start + 1s);
    EXPECT_EQ(count_of<claim_uncertain>(actions), 1U);
    EXPECT_EQ(find_sent<request_claim>(actions), std::nullopt);
    EXPECT_EQ(client.unrecorded_results(), 1U);
}

TEST(control_client, asks_the_next_control_host_after_a_timeout_and_follows_redirects) {
    control_client client = client_with_incarnation(1);
    const auto first = client.on_timer(start);
    const auto second = client.on_timer(start + 300ms);
    EXPECT_NE(std::get<send_to_control>(first.at(0)).to, std::get<send_to_control>(second.at(0)).to);
    const auto renewal = find_sent<renew_lease>(second);
    const host_id asked = std::get<send_to_control>(second.at(0)).to;
    client.on_message(start + 301ms, leader_redirect{asked, renewal->renewal.number, host_id{"c9"}});
    const auto third = client.on_timer(start + 330ms);
    EXPECT_EQ(std::get<send_to_control>(third.at(0)).to, host_id{"c9"});
}

} // namespace
} // namespace tamarack
