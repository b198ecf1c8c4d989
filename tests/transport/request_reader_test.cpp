#include <tamarack_transport/http/request_reader.h>

#include <gtest/gtest.h>

#include <cstring>
#include <string>

namespace tamarack {
namespace {

/** Passes bytes to a reader as they would arrive. @return its progress after the last ones */
receipt feed(request_reader& reader, const std::string& bytes) {
    receipt progress = receipt::incomplete;
    for (std::size_t at = 0; at < bytes.size() && progress == receipt::incomplete;) {
        const auto space = reader.prepare();
        const std::size_t size = std::min(space.size(), bytes.size() - at);
        std::memcpy(space.data(), bytes.data() + at, size);
        reader.commit(size);
        at += size;
        progress = reader.advance();
    }
    return progress;
}

std::string head_with_fields(std::size_t count) {
    std::string head = "POST / HTTP/1.1\r\n";
    for (std::size_t field = 0; field < count; ++field) {
        head += "a:\r\n";
    }
    return head;
}

struct request_reader_test : ::testing::Test {
    http_server_limits m_limits;
    request_reader m_reader{m_limits.header_bytes};

    void SetUp() override {
        m_limits.header_fields = 100;
        m_reader.begin(m_limits);
    }
};

/** Guards against fields that take memory before their header is complete. */
TEST_F(request_reader_test, refuses_too_many_fields_within_the_header) {
    ASSERT_EQ(feed(m_reader, head_with_fields(101)), receipt::unreadable);
    EXPECT_EQ(m_reader.failure().status, 431U);
    EXPECT_EQ(m_reader.failure().cause, connection_refusal::too_many_fields);
}

TEST_F(request_reader_test, accepts_as_many_fields_as_the_limit) {
    EXPECT_EQ(feed(m_reader, head_with_fields(100) + "\r\n"), receipt::complete);
}

TEST_F(request_reader_test, does_not_count_lines_of_a_body_or_of_a_pipelined_request) {
    const std::string lines(1'000, '\n');
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + lines;
    ASSERT_EQ(feed(m_reader, request + head_with_fields(100)), receipt::complete);
    EXPECT_EQ(m_reader.release().body(), lines);
    m_reader.begin(m_limits);
    EXPECT_EQ(m_reader.advance(), receipt::incomplete);
    EXPECT_EQ(feed(m_reader, "a:\r\n"), receipt::unreadable);
}

TEST_F(request_reader_test, refuses_too_many_fields_of_a_trailer) {
    std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for (std::size_t field = 0; field < 101; ++field) {
        request += "a:\r\n";
    }
    EXPECT_EQ(feed(m_reader, request + "\r\n"), receipt::unreadable);
    EXPECT_EQ(m_reader.failure().cause, connection_refusal::too_many_fields);
}

/** Guards against a header alone that takes the memory of its declared body. */
TEST_F(request_reader_test, allocates_a_body_as_it_arrives) {
    ASSERT_EQ(feed(m_reader, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"), receipt::incomplete);
    EXPECT_LT(m_reader.held_bytes(), 32 * kibibyte);
    ASSERT_EQ(feed(m_reader, std::string(500'000, 'x')), receipt::incomplete);
    EXPECT_GE(m_reader.held_bytes(), 500'000U);
}

TEST_F(request_reader_test, refuses_a_declared_length_beyond_the_limit_before_its_bytes) {
    EXPECT_EQ(feed(m_reader, "POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n"), receipt::unreadable);
    EXPECT_EQ(m_reader.failure().status, 413U);
}

/** Guards against a body that is parsed as header fields, since its length exceeds the limit. */
TEST_F(request_reader_test, refuses_a_declared_length_beyond_the_limit_with_its_first_bytes) {
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n";
    for (const std::string body : {"x", "a: b\r\n\r\n"}) {
        m_reader.begin(m_limits);
        EXPECT_EQ(feed(m_reader, head + body), receipt::unreadable) << body;
        EXPECT_EQ(m_reader.failure().status, 413U) << body;
        m_reader.free();
    }
}

/** Guards against an exception on forwarding it. */
TEST_F(request_reader_test, refuses_a_trace_request_with_a_body) {
    EXPECT_EQ(feed(m_reader, "TRACE / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"), receipt::unreadable);
    EXPECT_EQ(m_reader.failure().status, 400U);
}

TEST_F(request_reader_test, counts_a_released_request_until_it_is_handled) {
    const std::string body(100'000, 'x');
    ASSERT_EQ(feed(m_reader, "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + body), receipt::complete);
    const received_request request = m_reader.release();
    EXPECT_GE(m_reader.held_bytes(), body.size());
    m_reader.on_handled();
    EXPECT_LT(m_reader.held_bytes(), kibibyte);
}

} // namespace
} // namespace tamarack
