#include "request_codec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarack {
namespace {

http_request example_request() {
    http_request message;
    message.method_name = "GET";
    message.target = "/nono601/no91/2f?q=1";
    message.fields = {{"Host", "leno12.example"},
                      {"X-Tamarackstand-Request-Id", "9c41d07be2a35f68"},
                      {"X-Tamarackstand-Deadline-Ms", "400"},
                      {"Connection", "keep-alive, X-Hop"},
                      {"X-Hop", "1"},
                      {"Accept", "a"},
                      {"Accept", "b"}};
    return message;
}

std::string_view field(const http_fields& fields, std::string_view name) {
    return find_field(fields, name);
}

TEST(read_request, decodes_the_documented_example) {
    const auto read = wire::read_request(example_request());
    ASSERT_TRUE(succeeded(read));
    const forward_request& request = value_of(read);
    EXPECT_EQ(request.id.value(), "9c41d07be2a35f68");
    EXPECT_EQ(request.authority, "leno12.example");
    EXPECT_EQ(request.path, "/nono601/no91/2f");
    EXPECT_EQ(request.remaining_time, duration{400ms});
    EXPECT_EQ(request.payload->target, "/nono601/no91/2f?q=1");
}

TEST(read_request, passes_end_to_end_fields_only_and_keeps_repeated_ones) {
    const auto read = wire::read_request(example_request());
    const message_fields& fields = value_of(read).payload->fields;
    EXPECT_EQ(field(fields, "X-Hop"), "");
    EXPECT_EQ(field(fields, "Connection"), "");
    EXPECT_EQ(field(fields, "X-Tamarackstand-Deadline-Ms"), "");
    EXPECT_EQ(field(fields, "X-Tamarackstand-Request-Id"), "9c41d07be2a35f68");
    EXPECT_EQ(
        std::count_if(fields.begin(), fields.end(), [](const auto& item) { return item.first == "Accept"; }),
        2);
}

TEST(read_request, drops_a_port_of_the_host_and_a_target_that_the_caller_names) {
    http_request message = example_request();
    message.fields.front().second = "leno12.example:8080";
    message.fields.emplace_back("X-Tamarackstand-Target-Replica", "i-1");
    const auto read = wire::read_request(std::move(message));
    EXPECT_EQ(value_of(read).authority, "leno12.example");
    EXPECT_EQ(field(value_of(read).payload->fields, "X-Tamarackstand-Target-Replica"), "");
}

TEST(read_request, refuses_what_has_no_id_no_host_or_no_readable_deadline) {
    for (const std::size_t removed : {0U, 1U}) {
        http_request message = example_request();
        message.fields.erase(message.fields.begin() + static_cast<std::ptrdiff_t>(removed));
        EXPECT_FALSE(succeeded(wire::read_request(std::move(message)))) << removed;
    }
    for (const char* deadline : {"soon", "-1", "nan", "4e", ""}) {
        http_request message = example_request();
        message.fields[2].second = deadline;
        const bool absent = std::string_view{deadline}.empty();
        EXPECT_EQ(succeeded(wire::read_request(std::move(message))), absent) << deadline;
    }
}

TEST(write_exchange, sends_the_target_and_the_remaining_time) {
    target_exchange exchange;
    exchange.id = request_id{"9c41d07be2a35f68"};
    exchange.target = target_id{"i-7f3a91c2"};
    exchange.remaining_time = 123'456us;
    exchange.payload = value_of(wire::read_request(example_request())).payload;
    const http_request message = wire::write_exchange(exchange);
    EXPECT_EQ(message.method_name, "GET");
    EXPECT_EQ(message.target, "/nono601/no91/2f?q=1");
    EXPECT_EQ(field(message.fields, "Host"), "leno12.example");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Deadline-Ms"), "123");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Target-Replica"), "i-7f3a91c2");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Request-Id"), "9c41d07be2a35f68");
}

const request_id id{"9c41d07be2a35f68"};

http_response good_reply() {
    http_response message;
    message.status = 200;
    message.fields = {{"X-Tamarackstand-Request-Id", id.value()},
                      {"X-Tamarackstand-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"},
                      {"X-Tamarackstand-Replica-Load", "3,0,8"},
                      {"Keep-Alive", "timeout=5, max=100"},
                      {"X-Other", "kept"}};
    message.body = "body";
    return message;
}

TEST(read_reply, decodes_a_success_with_its_token_load_and_idle_limit) {
    const target_reply reply = wire::read_reply(id, good_reply());
    EXPECT_EQ(reply.verdict, target_verdict::completed);
    EXPECT_EQ(reply.token, "3e1b.07.5a2.600.0.c9f2a4d1");
    ASSERT_TRUE(reply.load);
    EXPECT_EQ(reply.load->running, 3U);
    EXPECT_EQ(reply.load->slots, 8U);
    EXPECT_EQ(reply.load->slowness, 1.0);
    EXPECT_EQ(reply.idle_limit, duration{5s});
    EXPECT_TRUE(reply.keeps_connection);
    EXPECT_EQ(field(reply.fields, "X-Other"), "kept");
    EXPECT_EQ(field(reply.fields, "X-Tamarackstand-Replica-Load"), "");
}

TEST(read_reply, reads_the_fourth_figure_of_a_load_as_slowness) {
    http_response message = good_reply();
    message.fields[2].second = "1, 2, 4, 250";
    EXPECT_EQ(wire::read_reply(id, std::move(message)).load->slowness, 2.5);
}

TEST(read_reply, reports_not_run_only_for_an_explicit_refusal) {
    http_response message = good_reply();
    message.status = 503;
    EXPECT_EQ(wire::read_reply(id, http_response{message}).verdict, target_verdict::failed);
    message.fields.emplace_back("X-Tamarackstand-Not-Executed", "1");
    EXPECT_EQ(wire::read_reply(id, http_response{message}).verdict, target_verdict::not_run);
    message.status = 421;
    EXPECT_EQ(wire::read_reply(id, http_response{message}).verdict, target_verdict::wrong_target);
}

/** Guards against a failure that reaches the caller as the promise that its request has not run. */
TEST(read_reply, reports_a_failure_whose_status_denies_the_execution) {
    http_response message = good_reply();
    for (const unsigned status : {400U, 404U, 500U, 502U, 504U}) {
        message.status = status;
        EXPECT_FALSE(wire::read_reply(id, http_response{message}).denies_execution) << status;
    }
    for (const unsigned status : {408U, 429U, 503U}) {
        message.status = status;
        EXPECT_TRUE(wire::read_reply(id, http_response{message}).denies_execution) << status;
    }
    message.fields.emplace_back("X-Tamarackstand-Not-Executed", "1");
    EXPECT_FALSE(wire::read_reply(id, http_response{message}).denies_execution);
}

TEST(read_reply, rejects_a_reply_to_another_request_or_without_a_token) {
    EXPECT_EQ(wire::read_reply(request_id{"other"}, good_reply()).verdict, target_verdict::malformed);
    http_response without_token = good_reply();
    without_token.fields.erase(without_token.fields.begin() + 1);
    EXPECT_EQ(wire::read_reply(id, std::move(without_token)).verdict, target_verdict::malformed);
    http_response encoded = good_reply();
    encoded.fields.emplace_back("Content-Encoding", "gzip");
    EXPECT_EQ(wire::read_reply(id, std::move(encoded)).verdict, target_verdict::malformed);
}

TEST(read_reply, says_why_it_rejects_a_reply_and_which_request_that_names) {
    const target_reply other = wire::read_reply(request_id{"other"}, good_reply());
    EXPECT_EQ(other.defect, reply_defect::other_request);
    EXPECT_EQ(other.named_request, id);
    http_response unnamed = good_reply();
    unnamed.fields.erase(unnamed.fields.begin());
    EXPECT_EQ(wire::read_reply(id, std::move(unnamed)).defect, reply_defect::no_request);
    http_response without_token = good_reply();
    without_token.fields.erase(without_token.fields.begin() + 1);
    EXPECT_EQ(wire::read_reply(id, std::move(without_token)).defect, reply_defect::success_without_token);
    http_response encoded = good_reply();
    encoded.fields.emplace_back("Content-Encoding", "gzip");
    EXPECT_EQ(wire::read_reply(id, std::move(encoded)).defect, reply_defect::encoded);
    EXPECT_EQ(wire::read_reply(id, good_reply()).defect, reply_defect::none);
}

/** Guards against a reply of a faulty target that reaches the caller with a status which is no final one. */
TEST(read_reply, rejects_a_status_that_is_no_final_one) {
    for (const unsigned status : {0U, 7U, 99U, 100U, 101U, 199U, 600U, 999U}) {
        http_response invalid = good_reply();
        invalid.status = status;
        const target_reply reply = wire::read_reply(id, http_response{invalid});
        EXPECT_EQ(reply.verdict, target_verdict::malformed) << status;
        EXPECT_EQ(to_name(reply.defect), "invalid_status") << status;
        invalid.fields.emplace_back("X-Tamarackstand-Not-Executed", "1");
        EXPECT_EQ(wire::read_reply(id, std::move(invalid)).verdict, target_verdict::malformed) << status;
    }
    for (const unsigned status : {204U, 304U, 404U, 500U, 599U}) {
        http_response valid = good_reply();
        valid.status = status;
        EXPECT_EQ(wire::read_reply(id, std::move(valid)).defect, reply_defect::none) << status;
    }
}

/** Guards against a rejection that a target sends twice: its second copy arrives where the reply to the next
 * request is due, which may be running by then. */
TEST(read_reply, takes_no_rejection_of_another_request_for_one_of_this_request) {
    for (const unsigned status : {421U, 429U, 503U}) {
        http_response rejection = good_reply();
        rejection.status = status;
        rejection.fields.emplace_back("X-Tamarackstand-Not-Executed", "1");
        EXPECT_EQ(wire::read_reply(request_id{"next"}, http_response{rejection}).verdict,
                  target_verdict::malformed)
            << status;
        rejection.fields.erase(rejection.fields.begin());
        EXPECT_EQ(wire::read_reply(id, std::move(rejection)).verdict, target_verdict::malformed)
            << status << " without an id";
    }
}

TEST(read_reply, ignores_malformed_numbers) {
    http_response message = good_reply();
    message.fields[2].second = "3,,x";
    message.fields[3].second = "timeout=soon";
    const target_reply reply = wire::read_reply(id, std::move(message));
    EXPECT_FALSE(reply.load);
    EXPECT_FALSE(reply.idle_limit);
    EXPECT_EQ(reply.verdict, target_verdict::completed);
}

TEST(read_reply, reads_the_leaving_field_of_any_answer) {
    for (const unsigned status : {200U, 500U, 503U, 421U}) {
        http_response message = good_reply();
        message.status = status;
        EXPECT_FALSE(wire::read_reply(id, http_response{message}).leaving);
        message.fields.emplace_back("server-leaving", " 1 ");
        const target_reply reply = wire::read_reply(id, std::move(message));
        EXPECT_TRUE(reply.leaving) << status;
        EXPECT_EQ(field(reply.fields, "Server-Leaving"), "")
            << "it is meant for this host, not for the caller";
    }
    http_response message = good_reply();
    message.fields.emplace_back("Server-Leaving", "0");
    EXPECT_FALSE(wire::read_reply(id, std::move(message)).leaving);
}

TEST(read_reply, reads_the_request_limit_of_any_answer) {
    for (const unsigned status : {200U, 500U, 503U}) {
        http_response message = good_reply();
        message.status = status;
        EXPECT_FALSE(wire::read_reply(id, http_response{message}).request_limit);
        message.fields.emplace_back("server-limit", " 30.4 ");
        const target_reply reply = wire::read_reply(id, std::move(message));
        EXPECT_EQ(reply.request_limit, 30.4) << status;
        EXPECT_FALSE(reply.request_limit_invalid);
        EXPECT_EQ(field(reply.fields, "Server-Limit"), "") << "it is meant for this host, not for the caller";
    }
}

TEST(read_reply, rejects_a_request_limit_that_is_not_a_valid_number) {
    for (const char* text : {"-1", "nan", "inf", "1e999", "7 a second", "1,5", "0x10"}) {
        http_response message = good_reply();
        message.fields.emplace_back("Server-Limit", text);
        const target_reply reply = wire::read_reply(id, std::move(message));
        EXPECT_FALSE(reply.request_limit) << text;
        EXPECT_TRUE(reply.request_limit_invalid) << text;
        EXPECT_EQ(reply.verdict, target_verdict::completed) << text;
    }
    http_response message = good_reply();
    message.fields.emplace_back("Server-Limit", "0");
    EXPECT_EQ(wire::read_reply(id, std::move(message)).request_limit, 0.0);
}

TEST(read_reply, reads_for_how_long_a_replica_stays_cold) {
    http_response message = good_reply();
    EXPECT_FALSE(wire::read_reply(id, http_response{message}).remaining_warmup);
    message.fields.emplace_back("X-Tamarackstand-Warmup-Remaining-Ms", "2500");
    const target_reply reply = wire::read_reply(id, std::move(message));
    EXPECT_EQ(reply.remaining_warmup, duration{2500ms});
    EXPECT_EQ(field(reply.fields, "X-Tamarackstand-Warmup-Remaining-Ms"), "") << "not meant for the caller";
    for (const char* text : {"-1", "soon", "1.5", "3600001", "99999999999999999999"}) {
        http_response odd = good_reply();
        odd.fields.emplace_back("X-Tamarackstand-Warmup-Remaining-Ms", text);
        EXPECT_FALSE(wire::read_reply(id, std::move(odd)).remaining_warmup) << text;
    }
}

TEST(read_reply, reads_the_backoff_of_a_refusal) {
    http_response message = good_reply();
    message.status = 503;
    message.fields.emplace_back("X-Tamarackstand-Not-Executed", "1");
    message.fields.emplace_back("Retry-After", "1.25");
    const target_reply reply = wire::read_reply(id, http_response{message});
    EXPECT_EQ(reply.backoff, duration{1250ms});
    EXPECT_FALSE(reply.backoff_invalid);
    EXPECT_EQ(field(reply.fields, "Retry-After"), "")
        << "it applies to this replica only, not to the whole system";
    message.status = 500;
    EXPECT_FALSE(wire::read_reply(id, std::move(message)).backoff) << "only a refusal can request a back-off";
}

TEST(read_reply, rejects_an_out_of_range_or_malformed_backoff) {
    for (const char* text :
         {"-1", "nan", "inf", "1e9", "601", "Fri, 04 Dec 2026 10:00:00 GMT", "1s", "0x1"}) {
        http_response message = good_reply();
        message.status = 503;
        message.fields.emplace_back("Retry-After", text);
        const target_reply reply = wire::read_reply(id, std::move(message));
        EXPECT_FALSE(reply.backoff) << text;
        EXPECT_TRUE(reply.backoff_invalid) << text;
    }
}

TEST(write_answer, returns_a_targets_reply_unchanged) {
    forward_answer answer;
    answer.outcome = forward_outcome::replied;
    answer.reply = wire::read_reply(id, good_reply());
    const http_response message = wire::write_answer(std::move(answer));
    EXPECT_EQ(message.status, 200U);
    EXPECT_EQ(message.body, "body");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Response-Stamp"), "3e1b.07.5a2.600.0.c9f2a4d1");
}

TEST(write_answer, lists_the_tokens_of_the_parts_and_counts_the_missing) {
    forward_answer answer;
    answer.outcome = forward_outcome::merged;
    answer.tokens = {"a", "b"};
    answer.missing = 1;
    answer.body = "records";
    const http_response message = wire::write_answer(std::move(answer));
    EXPECT_EQ(message.status, 200U);
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Shard-Stamps"), "a, b");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Shards-Missing"), "1");
    EXPECT_EQ(message.body, "records");
}

/** Guards against a field that exceeds 64 KiB, which can't be written and ended the process. */
TEST(write_answer, spreads_long_tokens_over_several_fields) {
    constexpr std::size_t parts = 36;
    constexpr std::size_t max_token_bytes = 16 * kibibyte; // a whole head of a reply
    forward_answer answer;
    answer.outcome = forward_outcome::merged;
    std::string expected;
    for (std::size_t part = 0; part < parts; ++part) {
        answer.tokens.emplace_back(max_token_bytes - part, 't');
        expected += (part == 0 ? "" : ", ") + answer.tokens.back();
    }
    std::string listed;
    for (const auto& [name, value] : wire::write_answer(std::move(answer)).fields) {
        EXPECT_LT(value.size(), 64 * kibibyte);
        if (name == "X-Tamarackstand-Shard-Stamps") {
            listed += (listed.empty() ? "" : ", ") + value;
        }
    }
    EXPECT_EQ(listed, expected);
}

TEST(write_answer, promises_not_run_only_for_what_did_not_run) {
    forward_answer answer;
    answer.outcome = forward_outcome::not_run;
    answer.reason = forward_reason::overloaded;
    answer.retry_after = 125ms;
    const http_response refused = wire::write_answer(forward_answer{answer});
    EXPECT_EQ(refused.status, 503U);
    EXPECT_EQ(field(refused.fields, "Retry-After"), "0.125");
    answer.outcome = forward_outcome::unknown;
    EXPECT_EQ(wire::write_answer(forward_answer{answer}).status, 502U);
    answer.reason = forward_reason::timed_out;
    EXPECT_EQ(wire::write_answer(forward_answer{answer}).status, 504U);
    answer.outcome = forward_outcome::invalid;
    EXPECT_EQ(wire::write_answer(forward_answer{answer}).status, 404U);
}

forward_request with_identity(const http_fields& identity) {
    http_request message = example_request();
    message.fields.insert(message.fields.end(), identity.begin(), identity.end());
    return value_of(wire::read_request(std::move(message)));
}

TEST(read_request, separates_the_identity_of_the_caller_from_the_other_fields) {
    const forward_request request =
        with_identity({{"authorization", "bearer  secret "}, {"x-tamarackstand-tenant", "another"}});
    EXPECT_EQ(request.credentials.state, credentials_state::key);
    EXPECT_EQ(request.credentials.key, "secret");
    EXPECT_EQ(field(request.payload->fields, "Authorization"), "");
    EXPECT_EQ(field(request.payload->fields, "X-Tamarackstand-Tenant"), "");
    EXPECT_EQ(request.payload->identity_fields.size(), 2U);
}

/** Guards against a request that two parties attribute to different callers. */
TEST(read_request, finds_no_key_in_several_authorization_fields_or_another_scheme) {
    EXPECT_EQ(with_identity({{"Authorization", "Bearer a"}, {"Authorization", "Bearer b"}}).credentials.state,
              credentials_state::malformed);
    EXPECT_EQ(with_identity({{"Authorization", "Basic a"}}).credentials.state, credentials_state::malformed);
    EXPECT_EQ(with_identity({{"Authorization", "Bearer"}}).credentials.state, credentials_state::malformed);
    EXPECT_EQ(with_identity({}).credentials.state, credentials_state::absent);
}

TEST(write_exchange, names_the_team_in_place_of_the_caller) {
    const forward_request request =
        with_identity({{"Authorization", "Bearer secret"}, {"X-Tamarackstand-Tenant", "another"}});
    target_exchange exchange;
    exchange.payload = request.payload;
    exchange.team = "divers";
    exchange.passes_identity = false;
    const http_request message = wire::write_exchange(exchange);
    EXPECT_EQ(field(message.fields, "Authorization"), "");
    EXPECT_EQ(field(message.fields, "X-Tamarackstand-Tenant"), "divers");
    exchange.team.clear();
    exchange.passes_identity = true;
    EXPECT_EQ(field(wire::write_exchange(exchange).fields, "Authorization"), "Bearer secret");
}

} // namespace
} // namespace tamarack
