#include <tamarack_query/tamarack_query.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

constexpr time_point start{1s};

replica_view make_replica(const std::string& name, const std::string& shard) {
    replica_view view;
    view.target = target_id{name};
    view.incarnation = {1};
    view.address = endpoint{"127.0.0.1:1"};
    view.shard = shard_id{shard};
    view.versions = {{index_version{"v1"}, "map"}};
    view.slots = 2;
    view.connections = 4;
    return view;
}

serving_view_pointer make_view() {
    auto view = std::make_shared<serving_view>();
    view->ticket = {7};
    service_view& service = view->services[service_id{"search"}];
    service.definition.id = service_id{"search"};
    service.definition.maps = {{"map", {shard_id{"a"}, shard_id{"b"}}}};
    service.replicas = {make_replica("a1", "a"), make_replica("b1", "b")};
    return view;
}

claim_answer claim_with(claim_verdict verdict) {
    claim_answer answer;
    answer.verdict = verdict;
    return answer;
}

claim_answer finished_with(const std::string& reply) {
    claim_answer answer = claim_with(claim_verdict::finished);
    answer.result = run_result::answered;
    answer.reply = reply;
    return answer;
}

/** An engine whose connections open immediately. Its actions are collected. */
class engine_fixture : public ::testing::Test {
protected:
    query_engine m_engine{host_id{"h1"}, {1}, {}, random_source{1}};
    std::vector<send_exchange> m_sent;
    std::vector<query_answer> m_answers;
    std::vector<commit_claim> m_claims;
    std::vector<probe_connection> m_probes;
    std::vector<connection_number> m_closed;
    std::vector<claim_result> m_recorded;

    void SetUp() override {
        run(m_engine.on_lease(start, start + 100s));
        run(m_engine.on_view(start, make_view()));
    }

    void run(const query_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* open = std::get_if<open_connection>(&action)) {
                run(m_engine.on_connected(start, open->connection));
            } else if (const auto* close = std::get_if<close_connection>(&action)) {
                m_closed.push_back(close->connection);
            } else if (const auto* send = std::get_if<send_exchange>(&action)) {
                m_sent.push_back(*send);
            } else if (const auto* claimed = std::get_if<commit_claim>(&action)) {
                m_claims.push_back(*claimed);
            } else if (const auto* probe = std::get_if<probe_connection>(&action)) {
                m_probes.push_back(*probe);
            } else if (const auto* record = std::get_if<record_claim_result>(&action)) {
                m_recorded.push_back(record->ended);
            } else if (const auto* answer = std::get_if<answer_caller>(&action)) {
                m_answers.push_back(answer->answer);
            }
        }
    }

    static caller_request make_request(request_number number) {
        caller_request request;
        request.number = number;
        request.service = service_id{"search"};
        request.body = "lot 4";
        request.deadline = start + 1s;
        return request;
    }

    static exchange_reply reply_to(const send_exchange& send, exchange_status status) {
        exchange_reply reply;
        reply.number = send.request.number;
        reply.status = status;
        reply.shard = send.request.shard;
        reply.version = send.request.version;
        reply.body = "part of " + send.request.shard.value();
        return reply;
    }
};

TEST_F(engine_fixture, answers_when_every_shard_has_replied) {
    run(m_engine.on_request(start, make_request(1)));
    ASSERT_EQ(m_sent.size(), 2U);
    run(m_engine.on_reply(start + 5ms, m_sent[0].connection,
                          reply_to(m_sent[0], exchange_status::completed)));
    EXPECT_TRUE(m_answers.empty());
    run(m_engine.on_reply(start + 6ms, m_sent[1].connection,
                          reply_to(m_sent[1], exchange_status::completed)));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::answered);
    EXPECT_EQ(m_answers[0].version, index_version{"v1"});
    EXPECT_EQ(m_answers[0].covered.size(), 2U);
    EXPECT_EQ(m_answers[0].ticket, ticket_number{7});
    EXPECT_EQ(m_engine.unanswered(), 0U);
}

/** Guards against an exchange on a connection whose previous request is still being written. */
TEST_F(engine_fixture, sends_nothing_on_a_connection_that_a_reply_has_ended) {
    caller_request request = make_request(1);
    request.only_shard = shard_id{"a"};
    run(m_engine.on_request(start, request));
    ASSERT_EQ(m_sent.size(), 1U);
    exchange_reply ending = reply_to(m_sent[0], exchange_status::completed);
    ending.ends_connection = true;
    run(m_engine.on_reply(start + 5ms, m_sent[0].connection, ending));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::answered);
    EXPECT_EQ(m_closed, std::vector<connection_number>{m_sent[0].connection});
    request.number = 2;
    run(m_engine.on_request(start + 6ms, request));
    ASSERT_EQ(m_sent.size(), 2U);
    EXPECT_NE(m_sent[1].connection, m_sent[0].connection);
}

TEST_F(engine_fixture, ends_by_the_deadline_as_unknown_when_it_may_have_run) {
    run(m_engine.on_request(start, make_request(1)));
    run(m_engine.on_timer(start + 1s));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::unknown);
    EXPECT_EQ(m_answers[0].missing.size(), 2U);
    EXPECT_GT(m_answers[0].retry_after, 0ms);
}

TEST_F(engine_fixture, says_not_run_only_when_every_target_said_so) {
    caller_request request = make_request(1);
    request.only_shard = shard_id{"a"};
    run(m_engine.on_request(start, request));
    run(m_engine.on_reply(start + 1ms, m_sent[0].connection, reply_to(m_sent[0], exchange_status::shed)));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::not_run);
}

TEST_F(engine_fixture, says_unknown_at_once_while_another_shard_may_be_running) {
    run(m_engine.on_request(start, make_request(1)));
    run(m_engine.on_reply(start + 1ms, m_sent[0].connection, reply_to(m_sent[0], exchange_status::shed)));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].reason, refusal_reason::coverage_too_low);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::unknown);
}

TEST_F(engine_fixture, refuses_without_a_lease) {
    run(m_engine.on_lease(start, start));
    run(m_engine.on_request(start, make_request(1)));
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::not_run);
    EXPECT_EQ(m_answers[0].reason, refusal_reason::no_lease);
}

TEST_F(engine_fixture, runs_a_non_idempotent_request_after_claim_and_probe) {
    caller_request request = make_request(1);
    request.only_shard = shard_id{"a"};
    request.at_most_once.key = idempotency_key{"k"};
    run(m_engine.on_request(start, request));
    ASSERT_EQ(m_claims.size(), 1U);
    EXPECT_TRUE(m_sent.empty());
    run(m_engine.on_claim_answer(start + 1ms, 1, claim_with(claim_verdict::granted)));
    ASSERT_EQ(m_probes.size(), 1U);
    EXPECT_TRUE(m_sent.empty());
    run(m_engine.on_connection_live(start + 2ms, m_probes[0].connection));
    ASSERT_EQ(m_sent.size(), 1U);
    run(m_engine.on_reply(start + 3ms, m_sent[0].connection,
                          reply_to(m_sent[0], exchange_status::completed)));
    ASSERT_EQ(m_recorded.size(), 1U);
    EXPECT_EQ(m_recorded[0].result, run_result::answered);
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::answered);
}

TEST_F(engine_fixture, never_sends_a_non_idempotent_request_again) {
    caller_request request = make_request(1);
    request.only_shard = shard_id{"a"};
    request.at_most_once.key = idempotency_key{"k"};
    run(m_engine.on_request(start, request));
    run(m_engine.on_claim_answer(start + 1ms, 1, claim_with(claim_verdict::granted)));
    run(m_engine.on_connection_live(start + 2ms, m_probes[0].connection));
    run(m_engine.on_connection_lost(start + 3ms, m_sent[0].connection));
    run(m_engine.on_timer(start + 500ms));
    EXPECT_EQ(m_sent.size(), 1U);
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].outcome, request_outcome::unknown);
    ASSERT_EQ(m_recorded.size(), 1U);
    EXPECT_EQ(m_recorded[0].result, run_result::unknown);
}

TEST_F(engine_fixture, answers_a_resend_with_the_recorded_result) {
    caller_request request = make_request(1);
    request.only_shard = shard_id{"a"};
    request.at_most_once.key = idempotency_key{"k"};
    run(m_engine.on_request(start, request));
    run(m_engine.on_claim_answer(start + 1ms, 1, finished_with("done")));
    EXPECT_TRUE(m_sent.empty());
    ASSERT_EQ(m_answers.size(), 1U);
    EXPECT_EQ(m_answers[0].covered.at(0).body, "done");
}

} // namespace
} // namespace tamarack
