#include "single_route.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace tamarack {
namespace {

constexpr time_point start{1h};
const digest poison = digest_of("poison");
const digest innocent = digest_of("innocent");

target_incarnation target(int number, std::uint64_t incarnation = 1) {
    return {target_id{"i-" + std::to_string(number)}, incarnation_id{incarnation}};
}

endpoint address_of(int number) {
    return endpoint{"10.0.0.1:" + std::to_string(number)};
}

void lose(crash_evidence& evidence, time_point now, int number, const digest& content,
          loss_cause cause = loss_cause::connection_lost) {
    evidence.on_exchange_lost(now, target(number), address_of(number), content, cause);
}

/** @return contents against which there is evidence once the target is found unreachable */
std::vector<digest> found_at(crash_evidence& evidence, time_point now, int number) {
    std::vector<digest> found;
    for (const auto& loss : evidence.on_target_unreachable(now, target(number))) {
        if (loss.newly_evident) {
            found.push_back(loss.loss.content);
        }
    }
    return found;
}

TEST(crash_evidence, two_targets_lost_to_one_content_are_evidence) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison);
    EXPECT_TRUE(found_at(evidence, start + 5ms, 1).empty());
    EXPECT_FALSE(evidence.crashes_targets(start + 5ms, poison));
    lose(evidence, start + 10ms, 2, poison);
    EXPECT_EQ(found_at(evidence, start + 15ms, 2), std::vector<digest>{poison});
    EXPECT_TRUE(evidence.crashes_targets(start + 15ms, poison));
    EXPECT_FALSE(evidence.crashes_targets(start + 15ms, innocent));
}

/** Load pattern: many exchanges lose their connections while their targets keep running. */
TEST(crash_evidence, lost_connections_alone_are_not_evidence) {
    crash_evidence evidence;
    for (int number = 0; number < 100; ++number) {
        lose(evidence, start + number * 1ms, number, poison);
    }
    EXPECT_FALSE(evidence.crashes_targets(start + 100ms, poison));
    EXPECT_EQ(evidence.targets_lost_to(start + 100ms, poison), 0U);
    EXPECT_TRUE(evidence.on_target_unreachable(start + 1h, target(1)).empty()) << "long after the loss";
}

TEST(crash_evidence, a_target_that_opens_a_connection_right_after_did_not_crash) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison);
    EXPECT_TRUE(evidence.awaits_check(target(1)));
    evidence.on_check_started(target(1));
    EXPECT_FALSE(evidence.awaits_check(target(1)));
    evidence.on_target_reachable(target(1), start + 1ms);
    EXPECT_TRUE(evidence.empty());
}

TEST(crash_evidence, a_connection_attempt_started_before_the_loss_proves_nothing) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison);
    evidence.on_target_reachable(target(1), start - 1ms);
    EXPECT_EQ(evidence.on_target_unreachable(start + 5ms, target(1)).size(), 1U);
}

/** Load pattern: each retry of a request arrives at a different host, so each host sees one lost target. */
TEST(crash_evidence, losses_found_by_several_hosts_add_up) {
    crash_evidence evidence;
    evidence.on_loss_reported(start, {poison, target(1), start});
    evidence.on_loss_reported(start, {poison, target(1), start});
    lose(evidence, start, 2, poison);
    EXPECT_EQ(found_at(evidence, start + 5ms, 2), std::vector<digest>{poison});
}

TEST(crash_evidence, a_loss_is_reported_unless_its_content_is_completed_first) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison);
    lose(evidence, start, 1, innocent);
    evidence.on_target_unreachable(start, target(1));
    EXPECT_TRUE(evidence.take_due_reports(start).empty());
    evidence.on_completed(innocent);
    const time_point due = evidence.next_report_at();
    const auto reported = evidence.take_due_reports(due);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().content, poison);
    EXPECT_EQ(reported.front().lost, target(1));
    EXPECT_EQ(evidence.next_report_at(), time_point::max());
}

/** Load pattern: many targets crash, and many requests are lost with them, of which none is completed. */
TEST(crash_evidence, limits_the_rate_of_reported_losses) {
    crash_evidence evidence;
    for (int number = 0; number < 50; ++number) {
        lose(evidence, start, number, digest_of(std::to_string(number)));
        evidence.on_target_unreachable(start, target(number));
    }
    lose(evidence, start, 50, poison);
    lose(evidence, start, 51, poison);
    evidence.on_target_unreachable(start, target(50));
    evidence.on_target_unreachable(start, target(51));
    const auto first = evidence.take_due_reports(start + crash_evidence::report_delay);
    ASSERT_GE(first.size(), 2U);
    EXPECT_EQ(first[0].content, poison);
    EXPECT_EQ(first[1].content, poison);
    std::size_t reported = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        reported += evidence.take_due_reports(now).size();
    }
    EXPECT_LE(reported, 10 * crash_evidence::max_reported_at_once);
    EXPECT_GT(reported, 8 * crash_evidence::max_reported_at_once);
}

/** Load pattern: a crashed target leaves its connection silent, and restarts before this is noticed. */
TEST(crash_evidence, another_process_at_the_address_of_an_unanswered_exchange_confirms_the_loss) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison, loss_cause::unanswered);
    evidence.on_target_reachable(target(1), start + 3s);
    EXPECT_TRUE(evidence.on_target_announced(start + 3s, address_of(2), target(2, 2)).empty());
    EXPECT_TRUE(evidence.on_target_announced(start + 3s, address_of(1), target(1)).empty())
        << "the same process";
    EXPECT_EQ(evidence.on_target_announced(start + 3s, address_of(1), target(7, 2)).size(), 1U);
    EXPECT_EQ(evidence.targets_lost_to(start + 3s, poison), 1U);
}

TEST(crash_evidence, is_cleared_when_a_target_completes_the_content) {
    crash_evidence evidence;
    for (int number = 1; number <= 3; ++number) {
        lose(evidence, start, number, innocent);
        evidence.on_target_unreachable(start + 5ms, target(number));
    }
    lose(evidence, start, 4, innocent);
    EXPECT_TRUE(evidence.crashes_targets(start + 10ms, innocent));
    evidence.on_completed(innocent);
    EXPECT_TRUE(evidence.empty());
}

TEST(crash_evidence, the_same_target_counts_once) {
    crash_evidence evidence;
    for (int crash = 0; crash < 3; ++crash) {
        const time_point now = start + crash * 5s;
        lose(evidence, now, 1, poison);
        evidence.on_target_unreachable(now + 5ms, target(1));
    }
    EXPECT_FALSE(evidence.crashes_targets(start + 15s, poison));
}

TEST(crash_evidence, exchanges_running_beside_the_crashing_one_are_not_suspected) {
    crash_evidence evidence;
    lose(evidence, start, 1, poison);
    lose(evidence, start, 1, innocent);
    evidence.on_target_unreachable(start + 5ms, target(1));
    lose(evidence, start + 1s, 2, poison);
    evidence.on_target_unreachable(start + 1005ms, target(2));
    EXPECT_TRUE(evidence.crashes_targets(start + 2s, poison));
    EXPECT_FALSE(evidence.crashes_targets(start + 2s, innocent));
}

TEST(crash_evidence, accepts_losses_reported_by_other_hosts_and_expires) {
    crash_evidence evidence;
    evidence.on_loss_reported(start, {poison, target(1), start});
    EXPECT_FALSE(evidence.crashes_targets(start, poison));
    evidence.on_loss_reported(start, {poison, target(2), start});
    EXPECT_TRUE(evidence.crashes_targets(start + 599s, poison));
    EXPECT_FALSE(evidence.crashes_targets(start + 601s, poison));
}

TEST(crash_evidence, a_single_loss_expires_sooner) {
    crash_evidence evidence;
    evidence.on_loss_reported(start, {poison, target(1), start});
    evidence.on_loss_reported(start + 61s, {poison, target(2), start + 61s});
    EXPECT_FALSE(evidence.crashes_targets(start + 61s, poison));
}

/** Load pattern: many targets crash at once while running harmless requests. */
TEST(crash_evidence, many_single_losses_do_not_displace_a_content_that_several_targets_were_lost_to) {
    crash_evidence evidence;
    for (int number = 0; number < 1'500; ++number) {
        evidence.on_loss_reported(start, {digest_of(std::to_string(number)), target(number), start});
    }
    evidence.on_loss_reported(start + 1s, {poison, target(1), start + 1s});
    evidence.on_loss_reported(start + 2s, {poison, target(2), start + 2s});
    EXPECT_TRUE(evidence.crashes_targets(start + 2s, poison));
}

TEST(crash_evidence, an_expired_single_loss_does_not_delay_a_retry) {
    crash_evidence evidence;
    evidence.on_loss_reported(start, {innocent, target(1), start});
    lose(evidence, start + 50s, 3, poison);
    evidence.on_exchange_lost(start + 61s, target(2), address_of(2), innocent, loss_cause::connection_lost);
    EXPECT_EQ(evidence.judge(start + 61s, innocent), crash_verdict::clear);
}

TEST(crash_evidence, three_lost_targets_stop_a_content_until_it_may_be_tried_once) {
    crash_evidence evidence;
    for (int number = 1; number <= 3; ++number) {
        EXPECT_NE(evidence.judge(start, poison), crash_verdict::refused);
        evidence.on_loss_reported(start, {poison, target(number), start});
    }
    EXPECT_EQ(evidence.judge(start + 59s, poison), crash_verdict::refused);
    EXPECT_EQ(evidence.remaining_refusal(start + 59s, poison), 1s);
    EXPECT_EQ(evidence.judge(start + 61s, poison), crash_verdict::crashes_targets) << "sent to one target";
    evidence.on_loss_reported(start + 62s, {poison, target(4), start + 62s});
    EXPECT_EQ(evidence.judge(start + 120s, poison), crash_verdict::refused);
    EXPECT_EQ(evidence.judge(start + 120s, innocent), crash_verdict::clear);
}

/** One host's engine with targets that crash on each request and refuse connections until they restart. */
struct crashing_targets : ::testing::Test {
    forwarding_engine engine_with(forwarding_protections protections) const {
        forwarding_options options;
        options.protections = protections;
        return forwarding_engine{options, random_source{1}};
    }

    /** Carries out the engine's actions; each exchange takes its target down for half a second. */
    void carry_out(forwarding_engine& engine, const forwarding_actions& actions) {
        for (const forwarding_action& action : actions) {
            if (const auto* open = std::get_if<open_target_connection>(&action)) {
                m_target_of[open->connection] = open->target;
                const bool down = m_down_until[open->target] > m_now;
                m_now += 1ms;
                carry_out(engine, down ? engine.on_connection_lost(m_now, open->connection)
                                       : engine.on_connected(m_now, open->connection));
            } else if (const auto* send = std::get_if<send_target_exchange>(&action)) {
                ++m_runs;
                m_down_until[m_target_of[send->connection]] = m_now + 500ms;
                m_now += 1ms;
                carry_out(engine, engine.on_connection_lost(m_now, send->connection));
            } else if (std::holds_alternative<crashing_content_found>(action)) {
                ++m_found;
            } else if (const auto* delivered = std::get_if<deliver_answer>(&action)) {
                m_traces.push_back(delivered->answer.trace);
            }
        }
    }

    int runs_of_ten_requests(forwarding_engine& engine) {
        engine.on_lease(m_now, time_point::max());
        carry_out(engine, engine.on_view(m_now, single_route_view(6)));
        for (forward_number number = 1; number <= 10; ++number) {
            m_now += 3s;
            carry_out(engine, engine.on_timer(m_now));
            carry_out(engine, engine.on_request(m_now, single_route_request(number)));
        }
        return m_runs;
    }

    time_point m_now = start;
    std::map<target_connection, target_id> m_target_of;
    std::map<target_id, time_point> m_down_until;
    int m_runs = 0;
    int m_found = 0;
    std::vector<request_trace> m_traces;
};

/** Load pattern: a request that crashes each target that runs it arrives ten times. */
TEST_F(crashing_targets, a_request_that_crashed_two_targets_is_sent_to_one_target_at_a_time) {
    forwarding_engine engine = engine_with({});
    const int runs = runs_of_ten_requests(engine);
    EXPECT_LE(runs, 3) << "refused after the third target";
    EXPECT_EQ(m_found, 1) << "the evidence is reported once";
}

TEST_F(crashing_targets, the_trace_of_a_lost_exchange_names_its_target) {
    forwarding_engine engine = engine_with({});
    runs_of_ten_requests(engine);
    ASSERT_FALSE(m_traces.empty());
    for (const trace_entry& entry : m_traces.front().entries) {
        EXPECT_FALSE(entry.step == trace_step::lost && entry.target.empty());
    }
    EXPECT_TRUE(std::ranges::any_of(m_traces.front().entries,
                                    [](const trace_entry& entry) { return entry.step == trace_step::lost; }));
}

/** Load pattern: other hosts find that a request crashes targets while it waits for a connection here. */
TEST_F(crashing_targets, a_request_that_waits_is_not_sent_once_its_content_is_refused) {
    forwarding_engine engine = engine_with({});
    std::vector<target_connection> opening;
    for (const forwarding_action& action : engine.on_view(m_now, single_route_view(1))) {
        if (const auto* open = std::get_if<open_target_connection>(&action)) {
            opening.push_back(open->connection);
        }
    }
    ASSERT_EQ(opening.size(), 1U);
    engine.on_request(m_now, single_route_request(1));
    const digest content = content_digest_of(*single_route_request(1).payload);
    for (const char* other : {"i-7", "i-8", "i-9"}) {
        engine.on_remote_crash_loss(m_now, {content, {target_id{other}, incarnation_id{}}, m_now});
    }
    bool refused = false;
    for (const forwarding_action& action : engine.on_connected(m_now + 1ms, opening.front())) {
        EXPECT_FALSE(std::holds_alternative<send_target_exchange>(action));
        if (const auto* delivered = std::get_if<deliver_answer>(&action)) {
            refused = delivered->answer.outcome == forward_outcome::not_run &&
                      delivered->answer.reason == forward_reason::crashes_targets;
        }
    }
    EXPECT_TRUE(refused);
}

TEST_F(crashing_targets, loses_two_targets_to_each_request_without_the_protection) {
    forwarding_protections protections;
    protections.single_run_of_crashing = false;
    forwarding_engine engine = engine_with(protections);
    EXPECT_EQ(runs_of_ten_requests(engine), 20);
}

TEST_F(crashing_targets, a_request_reported_by_other_hosts_is_sent_only_once) {
    forwarding_engine engine = engine_with({});
    const digest content = content_digest_of(*single_route_request(1).payload);
    for (const char* other : {"i-7", "i-8"}) {
        engine.on_remote_crash_loss(m_now, {content, {target_id{other}, incarnation_id{}}, m_now});
    }
    EXPECT_EQ(runs_of_ten_requests(engine), 1);
}

/** Load pattern: all targets crash at once, each while running a request. */
TEST(crash_reports, use_one_timer) {
    constexpr int targets = 20;
    forwarding_engine engine{{}, random_source{1}};
    std::vector<target_connection> opening;
    std::vector<target_connection> sent;
    const auto note = [&](const forwarding_actions& actions) {
        for (const forwarding_action& action : actions) {
            if (const auto* open = std::get_if<open_target_connection>(&action)) {
                opening.push_back(open->connection);
            } else if (const auto* send = std::get_if<send_target_exchange>(&action)) {
                sent.push_back(send->connection);
            }
        }
    };
    note(engine.on_view(start, single_route_view(targets)));
    for (const target_connection connection : std::exchange(opening, {})) {
        note(engine.on_connected(start, connection));
    }
    for (forward_number number = 1; number <= targets; ++number) {
        forward_request request = single_route_request(number);
        auto payload = std::make_shared<message_payload>();
        payload->target = "/" + std::to_string(number);
        request.payload = std::move(payload);
        note(engine.on_request(start, std::move(request)));
    }
    ASSERT_EQ(sent.size(), static_cast<std::size_t>(targets));
    for (const target_connection connection : sent) {
        note(engine.on_connection_lost(start + 1ms, connection));
    }
    const std::size_t before = engine.statistics().timers;
    const std::size_t checks = opening.size();
    for (const target_connection connection : std::exchange(opening, {})) {
        note(engine.on_connection_lost(start + 2ms, connection));
    }
    // Each failed connection attempt sets a timer for the next one.
    EXPECT_LE(engine.statistics().timers, before + checks + 2);
}

} // namespace
} // namespace tamarack
