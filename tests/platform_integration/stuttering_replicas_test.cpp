#include "platform_deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::platform_integration {
namespace {

using testing_support::repetition;

constexpr std::size_t hosts_with_disk = 3;
constexpr std::size_t entry_hosts = 3;
constexpr std::size_t replicas_of_service = 3;
constexpr std::size_t callers = 12;
constexpr int requests_of_a_caller = 200;
/** Primes, so that a reply can be a failure or a rejection and be repeated, in each combination. */
constexpr unsigned fails_each = 5;
constexpr unsigned rejects_each = 7;
constexpr unsigned repeats_each = 3;
constexpr unsigned requests_in_turn = 100;
/** Odd, so that successes and failures also alternate if every second request ends its connection. */
constexpr unsigned fails_each_in_turn = 3;
/** Longer than a replica waits before it repeats a reply. */
constexpr std::chrono::milliseconds pause_for_repetition{15};
constexpr std::chrono::milliseconds no_pause{0};
/** Allows the second replica fewer requests a second than the caller sends. */
constexpr double few_requests = 40.0;

const std::string document = R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"safe","timeout-ms":1500,"target-latency-ms":250,
  "priority":1,"service":"orders","max-attempts":2},
 {"name":"order","host":"x.example","path-prefix":"/order/","type":"unsafe","timeout-ms":1500,"target-latency-ms":250,
  "priority":1,"service":"desk","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45},
  {"name":"desk","health-check-path":"/health","max-connections":45}]})";

/** Real processes whose replicas fail, reject and repeat part of their replies. */
struct stuttering_replicas_test : ::testing::Test {
    platform_deployment m_deployment{hosts_with_disk, entry_hosts};

    void SetUp() override {
        for (std::size_t count = 0; count < replicas_of_service; ++count) {
            for (const char* service : {"orders", "desk"}) {
                stand_in_replica& replica = m_deployment.add_replica(service);
                replica.fails_each = fails_each;
                replica.rejects_each = rejects_each;
                replica.repeats_each = repeats_each;
            }
        }
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(
                eventually([&] { return m_deployment.known_replicas(host) == 2 * replicas_of_service; }));
            ASSERT_TRUE(eventually([&] { return m_deployment.ready(host); }));
        }
    }

    /** Sends requests on a kept connection. @return the number of successes */
    unsigned call(std::size_t caller) {
        const std::size_t host = caller % m_deployment.hosts();
        testing_support::persistent_connection connection{m_deployment.callers_address(host)};
        unsigned served = 0;
        for (int number = 0; number < requests_of_a_caller; ++number) {
            const char* path = number % 2 == 0 ? "/fetch/1" : "/order/1";
            const auto answer = m_deployment.request(host, "x.example", path, 2'000, &connection);
            served += answer && answer->status == status_ok ? 1 : 0;
        }
        return served;
    }
};

/** Guards against answers that belong to another request, and against rejections of another one that are
 * believed: replicas send a third of their replies twice, the second time where the next reply is due. */
TEST_F(stuttering_replicas_test, callers_get_the_replies_to_their_own_requests_only) {
    std::atomic<unsigned> served{0};
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([this, caller, &served] { served += call(caller); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(m_deployment.requests_answered_wrongly(), std::vector<std::string>{});
    EXPECT_EQ(m_deployment.requests_run_twice("desk"), std::vector<std::string>{});
    EXPECT_EQ(m_deployment.requests_run_after_refusal(), std::vector<std::string>{});
    EXPECT_GT(served, callers * requests_of_a_caller / 4);
}

/** A real process with one kept connection to each replica, and a caller that sends one request after the
 * other, so that the connection that a reply came on carries the next request too. */
struct repeated_replies_test : ::testing::Test {
    platform_deployment m_deployment{1, 0};

    void start(std::size_t replicas) {
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document), 200U) << m_deployment.logs();
        m_deployment.start_heartbeats();
        ASSERT_TRUE(eventually([&] { return m_deployment.known_replicas(0) == replicas; }));
        ASSERT_TRUE(eventually([&] { return m_deployment.ready(0); }));
    }

    /** Sends requests to one replica that fails some and repeats each reply unchanged. */
    void repeat_unchanged(repetition way, std::chrono::milliseconds pause) {
        stand_in_replica& replica = m_deployment.add_replica("desk");
        replica.fails_each = fails_each_in_turn;
        replica.repeats_each = 1;
        replica.repetition = way;
        ASSERT_NO_FATAL_FAILURE(start(1));
        call("/order/1", pause);
        EXPECT_TRUE(eventually([&] { return replica.runs == requests_in_turn; })) << replica.runs << " runs";
    }

    /** Sends requests to a replica that fails each one and repeats each reply as a success, and to one with a
     * limit on requests, to which a retry can't be sent at once. */
    void repeat_as_success(repetition way, std::chrono::milliseconds pause) {
        stand_in_replica& failing = m_deployment.add_replica("orders");
        failing.fails_each = 1;
        failing.repeats_each = 1;
        failing.repetition = way;
        failing.repeats_as_success = true;
        stand_in_replica& limited = m_deployment.add_replica("orders");
        limited.request_limit = few_requests;
        ASSERT_NO_FATAL_FAILURE(start(2));
        // A host uses its share of a limit only once it has had time to find the other hosts.
        ASSERT_TRUE(eventually([&] {
            m_deployment.request(0, "x.example", "/fetch/1");
            return limited.runs > 1;
        }));
        const std::size_t retries_before = m_deployment.extra_load("orders");
        call("/fetch/1", pause);
        EXPECT_GT(m_deployment.extra_load("orders"), retries_before);
    }

    void call(const std::string& path, std::chrono::milliseconds pause) {
        testing_support::persistent_connection connection{m_deployment.callers_address(0)};
        unsigned served = 0;
        for (unsigned number = 0; number < requests_in_turn; ++number) {
            const auto answer = m_deployment.request(0, "x.example", path, 2'000, &connection);
            served += answer && answer->status == status_ok ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
        EXPECT_EQ(m_deployment.requests_answered_wrongly(), std::vector<std::string>{});
        EXPECT_GT(served, requests_in_turn / 4);
    }
};

/** Guards against a second reply that is kept and taken for the reply to the next request. */
TEST_F(repeated_replies_test, whole_while_idle_do_not_answer_the_next_request) {
    repeat_unchanged(repetition::while_idle, pause_for_repetition);
}

/** Guards against a response that is put together from the status line of a second reply and the next one. */
TEST_F(repeated_replies_test, begun_while_idle_do_not_begin_the_next_reply) {
    repeat_unchanged(repetition::begun_while_idle, pause_for_repetition);
}

/** Guards against a second reply that is taken for the reply to the request that is under way. */
TEST_F(repeated_replies_test, after_the_next_request_do_not_answer_it) {
    repeat_unchanged(repetition::after_next_request, no_pause);
}

/** Guards against a success that a replica sends after its failure, taken for the reply to a retry. */
TEST_F(repeated_replies_test, as_successes_before_the_next_reply_do_not_hide_a_failure) {
    repeat_as_success(repetition::before_next_response, no_pause);
}

/** Guards against the same, some milliseconds after the failure, whether or not a retry is sent. */
TEST_F(repeated_replies_test, as_successes_while_idle_do_not_hide_a_failure) {
    repeat_as_success(repetition::while_idle, pause_for_repetition);
}

/** Guards against a failure that gets the status line of a second reply to an earlier failure. */
TEST_F(repeated_replies_test, as_successes_begun_while_idle_do_not_hide_a_failure) {
    repeat_as_success(repetition::begun_while_idle, pause_for_repetition);
}

/** Guards against the same, at a moment when the replica has read the retry. */
TEST_F(repeated_replies_test, as_successes_after_the_next_request_do_not_hide_a_failure) {
    repeat_as_success(repetition::after_next_request, no_pause);
}

} // namespace
} // namespace tamarack::platform_integration
