#include <tamarack_ledger/tamarack_ledger.h>

#include <gtest/gtest.h>

#include <stdexcept>

namespace tamarack {
namespace {

constexpr wall_time start{1'000'000'000};

claim sample_claim(std::uint64_t attempt, const std::string& content = "body") {
    return {service_id{"notices"},
            idempotency_key{"k1"},
            digest_of(content),
            start,
            host_id{"h1"},
            incarnation_id{1},
            attempt};
}

claim_result result_of(std::uint64_t attempt, run_result result, const std::string& reply = "") {
    return {service_id{"notices"}, idempotency_key{"k1"}, attempt, result, reply, false};
}

TEST(claim_ledger, grants_a_key_once) {
    claim_ledger ledger;
    EXPECT_EQ(ledger.apply(sample_claim(1), start).verdict, claim_verdict::granted);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::running);
    EXPECT_EQ(ledger.apply(sample_claim(1), start).verdict, claim_verdict::granted);
    claim other_incarnation = sample_claim(1);
    other_incarnation.incarnation = incarnation_id{2};
    EXPECT_EQ(ledger.apply(other_incarnation, start).verdict, claim_verdict::running);
    EXPECT_EQ(ledger.open_claim(service_id{"notices"}, idempotency_key{"k1"}), sample_claim(1));
}

TEST(claim_ledger, gives_the_recorded_reply_to_every_later_attempt) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(2, run_result::answered, "not of the granted attempt"), start);
    ledger.apply(result_of(1, run_result::answered, "reply"), start);
    ledger.apply(result_of(1, run_result::not_run), start);
    const auto answer = ledger.apply(sample_claim(3), start);
    EXPECT_EQ(answer.verdict, claim_verdict::finished);
    EXPECT_EQ(answer.result, run_result::answered);
    EXPECT_EQ(answer.reply, "reply");
}

TEST(claim_ledger, records_a_long_reply_by_its_digest) {
    claim_ledger ledger;
    const std::string reply(max_recorded_reply + 1, 'r');
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::answered, reply), start);
    const auto answer = ledger.find(service_id{"notices"}, idempotency_key{"k1"});
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->reply, digest_of(reply).hex());
    EXPECT_TRUE(answer->reply_is_digest);
}

TEST(claim_ledger, grants_again_only_after_not_run) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::not_run), start);
    EXPECT_EQ(ledger.apply(sample_claim(1), start).result, run_result::not_run);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::granted);
    EXPECT_EQ(ledger.apply(sample_claim(1), start).verdict, claim_verdict::running);
    ledger.apply(result_of(2, run_result::not_run), start);
    EXPECT_EQ(ledger.apply(sample_claim(1), start).verdict, claim_verdict::finished);
    EXPECT_EQ(ledger.apply(sample_claim(3), start).verdict, claim_verdict::granted);
}

TEST(claim_ledger, never_grants_an_attempt_that_was_withdrawn_before_its_claim_came) {
    claim_ledger ledger;
    ledger.apply(result_of(1, run_result::not_run), start);
    const auto late = ledger.apply(sample_claim(1), start);
    EXPECT_EQ(late.verdict, claim_verdict::finished);
    EXPECT_EQ(late.result, run_result::not_run);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::granted);
}

TEST(claim_ledger, never_grants_a_late_copy_of_an_attempt_that_was_refused) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::running);
    ledger.apply(result_of(1, run_result::not_run), start);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).result, run_result::not_run);
    EXPECT_EQ(ledger.open_claim(service_id{"notices"}, idempotency_key{"k1"}), std::nullopt);
}

TEST(claim_ledger, keeps_unknown_until_the_attempt_itself_says_more) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::unknown), start);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).result, run_result::unknown);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::finished);
    ledger.apply(result_of(1, run_result::answered, "late"), start);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).reply, "late");
}

TEST(claim_ledger, without_keep_unknown_grants_a_key_that_may_be_running) {
    ledger_limits limits;
    limits.protections.keep_unknown = false;
    claim_ledger ledger{limits};
    ledger.apply(sample_claim(1), start);
    const auto former = set_invariant_handler(
        [](std::string_view text, const source_place&) { throw std::logic_error{std::string{text}}; });
    EXPECT_THROW(ledger.apply(sample_claim(2), start), std::logic_error);
    set_invariant_handler(former);
}

TEST(claim_ledger, refuses_other_content_under_a_known_key) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::not_run), start);
    const auto answer = ledger.apply(sample_claim(2, "other body"), start);
    EXPECT_EQ(answer.verdict, claim_verdict::conflict);
    EXPECT_EQ(answer.accepted_content, digest_of("body"));
    claim reissued = sample_claim(2);
    reissued.issued_at += 1s;
    EXPECT_EQ(ledger.apply(reissued, start).verdict, claim_verdict::conflict);
}

TEST(claim_ledger, without_compare_content_answers_a_request_with_the_reply_of_another) {
    ledger_limits limits;
    limits.protections.compare_content = false;
    claim_ledger ledger{limits};
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::answered, "reply to body"), start);
    EXPECT_EQ(ledger.apply(sample_claim(2, "other body"), start).reply, "reply to body");
}

TEST(claim_ledger, refuses_a_key_by_its_time_of_issue_once_it_is_forgotten) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::answered, "reply"), start);
    const wall_time day_later = start + 24h + 1ms;
    EXPECT_EQ(ledger.apply(sample_claim(2), day_later).verdict, claim_verdict::expired);
    EXPECT_EQ(ledger.size(), 0U);
    EXPECT_EQ(ledger.apply(sample_claim(2), start).verdict, claim_verdict::expired) << "time never goes back";
    claim future = sample_claim(3);
    future.issued_at = day_later + 5'001ms;
    EXPECT_EQ(ledger.apply(future, day_later).verdict, claim_verdict::expired);
}

TEST(claim_ledger, without_refuse_expired_runs_a_forgotten_key_again) {
    ledger_limits limits;
    limits.protections.refuse_expired = false;
    claim_ledger ledger{limits};
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::answered, "reply"), start);
    EXPECT_EQ(ledger.apply(sample_claim(2), start + 24h + 1ms).verdict, claim_verdict::granted);
}

TEST(claim_ledger, has_room_for_as_many_keys_as_its_limit_says) {
    ledger_limits limits;
    limits.entries = 1;
    claim_ledger ledger{limits};
    ledger.apply(sample_claim(1), start);
    claim other = sample_claim(1);
    other.key = idempotency_key{"k2"};
    EXPECT_EQ(ledger.apply(other, start).verdict, claim_verdict::full);
}

TEST(claim_ledger, is_the_same_after_saving_and_restoring) {
    claim_ledger ledger;
    ledger.apply(sample_claim(1), start);
    ledger.apply(result_of(1, run_result::answered, "reply \"quoted\"\n"), start);
    ledger.apply(result_of(9, run_result::not_run), start);
    claim open = sample_claim(4);
    open.key = idempotency_key{"k2"};
    ledger.apply(open, start);
    claim_ledger restored;
    ASSERT_TRUE(succeeded(restored.restore(ledger.save())));
    EXPECT_EQ(restored.save(), ledger.save());
    EXPECT_EQ(restored.apply(sample_claim(2), start).reply, "reply \"quoted\"\n");
    EXPECT_EQ(restored.open_claim(open.service, open.key), open);
    EXPECT_FALSE(succeeded(restored.restore("")));
}

TEST(claim_codec, reads_what_it_writes_and_refuses_the_rest) {
    const claim written = sample_claim(UINT64_MAX);
    EXPECT_EQ(value_of(decode_claim(encode_claim(written))), written);
    const claim_result ended = result_of(3, run_result::answered, "reply");
    EXPECT_EQ(value_of(decode_claim_result(encode_claim_result(ended))), ended);
    Json::Value json = encode_claim(written);
    json["extra"] = 1;
    EXPECT_FALSE(succeeded(decode_claim(json)));
    json = encode_claim(written);
    json["key"] = std::string(10'000, 'k');
    EXPECT_FALSE(succeeded(decode_claim(json)));
}

} // namespace
} // namespace tamarack
