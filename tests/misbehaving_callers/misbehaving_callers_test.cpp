#include "caller_crowd.h"

#include "platform_integration/platform_deployment.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <string>

namespace tamarack::misbehaving_callers {
namespace {

using platform_integration::call_limit;
using platform_integration::platform_deployment;
using testing_support::eventually;

/** Connections of a crowd. On the code before the limits on connections, each pattern that holds memory
 * exceeds the bound below with this number. */
constexpr std::size_t crowd_size = 200;
/** Bound of the growth of a host's peak memory over all crowds of a test. */
constexpr std::size_t growth_bound_kib = 24'576;
/** Descriptors beyond those open before a crowd: the crowd's own, and some of other callers and hosts. */
constexpr std::size_t descriptor_bound = crowd_size + 50;
constexpr std::size_t whole = 1'000'000'000;

/** A listener of a host, and a path there. */
struct attacked_listener {
    const char* name;
    std::size_t number; ///< as in platform_deployment::address_of
    const char* path;
    const char* authority;
};

constexpr std::array<attacked_listener, 9> listeners{{
    {"callers, routed path", 0, "/fetch/1", "y.example"},
    {"callers, path without a route", 0, "/none", "z.example"},
    {"readiness", 1, "/tamarackstand/readiness", "h"},
    {"control, configuration", 2, "/tamarackstand/Config.Replace", "h"},
    {"control, heartbeat", 2, "/tamarackstand/Replicas.Heartbeat/i-9", "h"},
    {"directory", 3, "/tamarackstand/resolve?name=x.example&region=r&zone=zone-0", "h"},
    {"directory, other path", 3, "/none", "h"},
    {"hosts", 4, "/", "h"},
    {"operators", 5, "/metrics", "h"},
}};

std::string document() {
    return R"({"version":3,"routes":[
 {"name":"fetch","host":"y.example","path-prefix":"/fetch/","type":"safe","timeout-ms":2500,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

std::string head_of(const attacked_listener& at, const std::string& method) {
    return method + " " + at.path + " HTTP/1.1\r\nHost: " + at.authority +
           "\r\nX-Tamarackstand-Request-Id: crowd\r\n";
}

std::string repeated(const std::string& text, std::size_t count) {
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t number = 0; number < count; ++number) {
        all += text;
    }
    return all;
}

/** Bytes that a crowd sends at a listener. */
using attack = std::function<std::string(const attacked_listener&)>;

/** Three hosts with a replica of one service. Crowds attack the first host. */
struct misbehaving_callers_test : ::testing::Test {
    platform_deployment m_deployment{3, 0};

    void SetUp() override {
        // Crowds must not be ended by time before their memory is measured, however slow the machine is.
        m_deployment.add_limit("request_receipt = 2min");
        m_deployment.add_limit("connection_bytes = 8MiB");
        m_deployment.start_all();
        ASSERT_EQ(m_deployment.submit(document()), 200U) << m_deployment.logs();
        m_deployment.add_replica("orders");
        m_deployment.start_heartbeats();
        for (std::size_t host = 0; host < m_deployment.hosts(); ++host) {
            ASSERT_TRUE(serves(host)) << m_deployment.logs();
        }
    }

    bool serves(std::size_t host) {
        return eventually([&] {
            const auto response = m_deployment.request(host, "y.example", "/fetch/1");
            return response && response->status == 200;
        });
    }

    /** Waits until a host has read what it is going to read. */
    void wait_until_read(const std::string& address) {
        constexpr int unchanged_reads = 10;
        std::size_t before = unread_bytes(address);
        for (int unchanged = 0; before > 0 && unchanged < unchanged_reads;) {
            m_deployment.known_replicas(0);
            const std::size_t now = unread_bytes(address);
            unchanged = now == before ? unchanged + 1 : 0;
            before = now;
        }
    }

    /** Lets a crowd attack each listener of the first host in turn, and checks the host after each one. */
    void attack_each_listener(const attack& bytes_at, std::size_t piece = whole) {
        const std::size_t memory_before = m_deployment.process(0).peak_memory_kib();
        for (const attacked_listener& at : listeners) {
            const std::size_t descriptors_before = m_deployment.process(0).open_descriptors();
            const std::string address = m_deployment.address_of(0, at.number);
            caller_crowd crowd{address, crowd_size};
            crowd.send(bytes_at(at), piece);
            wait_until_read(address);
            ASSERT_FALSE(m_deployment.process(0).poll()) << at.name << m_deployment.process(0).errors();
            EXPECT_LE(m_deployment.process(0).peak_memory_kib(), memory_before + growth_bound_kib)
                << at.name << ", KiB before: " << memory_before;
            RecordProperty("peak_kib after " + std::string{at.name},
                           std::to_string(m_deployment.process(0).peak_memory_kib()));
            EXPECT_LE(m_deployment.process(0).open_descriptors(), descriptors_before + descriptor_bound)
                << at.name;
            EXPECT_TRUE(serves(0)) << at.name;
            EXPECT_TRUE(eventually([&] {
                testing_support::plain_request request;
                request.path = "/ordinary";
                return testing_support::call_and_wait(address, request, call_limit).has_value();
            })) << at.name;
        }
    }
};

constexpr std::size_t body_size = 250'000;
constexpr std::size_t missing = 10;

std::string unfinished_body(const attacked_listener& at) {
    return head_of(at, "POST") + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n" +
           std::string(body_size - missing, 'x');
}

std::string unfinished_chunks(const attacked_listener& at) {
    constexpr std::size_t chunk = 0x400;
    return head_of(at, "POST") + "Transfer-Encoding: chunked\r\n\r\n" +
           repeated("400\r\n" + std::string(chunk, 'x') + "\r\n", body_size / chunk) + "400\r\nx";
}

/** Guards against memory held for bodies of permitted size whose ends never arrive. */
TEST_F(misbehaving_callers_test, bodies_in_one_piece_that_stop_before_their_end) {
    attack_each_listener(unfinished_body);
}

TEST_F(misbehaving_callers_test, bodies_in_small_pieces_that_stop_before_their_end) {
    constexpr std::size_t small = 4'000;
    attack_each_listener(unfinished_body, small);
}

TEST_F(misbehaving_callers_test, bodies_in_chunks_that_stop_before_their_end) {
    attack_each_listener(unfinished_chunks);
}

/** Guards against reading a body whose declared or actual size is beyond the limit. */
TEST_F(misbehaving_callers_test, bodies_far_beyond_the_limit) {
    constexpr std::size_t sent = 400'000;
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "POST") + "Content-Length: 1000000000\r\n\r\n" + std::string(sent, 'x');
    });
}

TEST_F(misbehaving_callers_test, chunks_far_beyond_the_limit) {
    constexpr std::size_t sent = 400'000;
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "POST") + "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n" +
               std::string(sent, 'x');
    });
}

/** Guards against fields that take far more memory than they have bytes. */
TEST_F(misbehaving_callers_test, heads_of_empty_fields_that_stop_before_their_end) {
    constexpr std::size_t fields = 3'900;
    attack_each_listener(
        [](const attacked_listener& at) { return head_of(at, "GET") + repeated("a:\r\n", fields); });
}

TEST_F(misbehaving_callers_test, whole_heads_of_short_fields_before_a_body_that_never_comes) {
    constexpr std::size_t fields = 2'500;
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "POST") + repeated("a: b\r\n", fields) + "Content-Length: 10\r\n\r\n";
    });
}

TEST_F(misbehaving_callers_test, trailers_of_empty_fields) {
    constexpr std::size_t fields = 3'900;
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "POST") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
               repeated("a:\r\n", fields);
    });
}

/** Guards against pipelined requests that are held in memory, and against responses that nobody reads. */
TEST_F(misbehaving_callers_test, pipelined_requests_whose_responses_are_not_read) {
    constexpr std::size_t requests = 200;
    attack_each_listener(
        [](const attacked_listener& at) { return repeated(head_of(at, "GET") + "\r\n", requests); });
}

/** Guards against connections that stop within their first line or head. */
TEST_F(misbehaving_callers_test, heads_that_stop_half_way) {
    constexpr std::size_t value = 15'000;
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "GET") + "X-Long: " + std::string(value, 'x');
    });
}

/** Guards against a TRACE request with a body, whose forwarding threw an exception that nobody caught. */
TEST_F(misbehaving_callers_test, trace_requests_with_a_body) {
    attack_each_listener([](const attacked_listener& at) {
        return head_of(at, "TRACE") + "X-Tamarackstand-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody";
    });
}

} // namespace
} // namespace tamarack::misbehaving_callers
