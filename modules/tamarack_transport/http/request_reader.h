#pragma once

#include "connection_refusal.h"
#include "http_server.h"
#include "received_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <optional>

namespace tamarack {

/** Why a request can't be read, and how it is answered. */
struct unreadable_request {
    unsigned status = 0;
    connection_refusal cause = connection_refusal::malformed;
};

/** Progress of a request that is being received. */
enum class receipt {
    incomplete,
    complete,
    unreadable,
};

/**
 * Parses the requests of one connection from the bytes that arrive. Does no I/O itself.
 *
 * Bytes beyond the current request are kept for the next one; at most twice the limit on a header.
 */
class request_reader {
public:
    explicit request_reader(std::size_t header_bytes) : m_buffer(2 * header_bytes) {}

    /** Prepares for the next request. Frees a buffer that has grown beyond its usual size. */
    void begin(const http_server_limits& limits);

    /** @return memory for received bytes */
    boost::asio::mutable_buffer prepare();
    void commit(std::size_t bytes) { m_buffer.commit(bytes); }
    bool has_bytes() const { return m_buffer.size() > 0; }

    /** Parses the bytes that have arrived. */
    receipt advance();

    /** @return whether the peer's end of its sending direction cuts off a request */
    bool is_cut_off_by_end() const { return m_parser && m_parser->got_some(); }

    /** @return why the request is unreadable */
    const unreadable_request& failure() const { return m_failure; }

    /** @return the complete request; its memory still counts in `held_bytes` until `on_handled` */
    received_request release();

    /** The released request has been handled, and its memory is free. */
    void on_handled();

    /** @return the memory that the request takes, beyond what every connection has */
    std::size_t held_bytes() const;

    /** Frees all memory; no further bytes may be added. */
    void free();

private:
    using parser = boost::beast::http::request_parser<received_body>;

    receipt fail(unsigned status, connection_refusal cause);
    receipt fail(const boost::system::error_code& failure);
    /** Counts the lines of the header among bytes that were not counted before. @return whether they are few
     * enough */
    bool count_header_lines();
    receipt check_complete();

    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::size_t m_max_fields = 0;
    std::size_t m_counted = 0;     ///< bytes at the front of the buffer whose lines are counted
    std::size_t m_lines = 0;       ///< of the header, with its first line
    std::size_t m_line_length = 0; ///< of the header's last line so far
    std::size_t m_header_bytes = 0;
    bool m_header_counted = false;
    std::size_t m_released_bytes = 0; ///< size of the body that was released
    unreadable_request m_failure;
};

} // namespace tamarack
