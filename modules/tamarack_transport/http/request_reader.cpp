#include <utility>

#include "request_reader.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <cstring>
#include <iterator>

namespace tamarack {

namespace {

namespace http = boost::beast::http;

constexpr unsigned bad_request = 400;
constexpr unsigned payload_too_large = 413;
constexpr unsigned header_too_large = 431;

/** Size of the buffer that each connection keeps. */
constexpr std::size_t usual_buffer = 4 * kibibyte;
constexpr std::size_t max_read = 64 * kibibyte;
/** Memory of one field beside its text, in the parser and in the converted request: 86 bytes per field of
 * four letters were measured in the parser, and a converted field takes 64. */
constexpr std::size_t field_cost = 192;

} // namespace

void request_reader::begin(const http_server_limits& limits) {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    m_parser->body_limit(limits.body_bytes);
    m_max_fields = limits.header_fields;
    m_counted = 0;
    m_line_length = 0;
    m_header_counted = false;
    on_handled();
    if (m_buffer.capacity() > usual_buffer && m_buffer.size() < usual_buffer) {
        m_buffer.shrink_to_fit();
    }
}

boost::asio::mutable_buffer request_reader::prepare() {
    const std::size_t size = m_buffer.capacity() == 0 ? std::min(usual_buffer, m_buffer.max_size())
                                                      : boost::beast::read_size(m_buffer, max_read);
    return m_buffer.prepare(size);
}

receipt request_reader::advance() {
    if (!count_header_lines()) {
        return fail(header_too_large, connection_refusal::too_many_fields);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code failure;
        const std::size_t used = m_parser->put(m_buffer.data(), failure);
        m_buffer.consume(used);
        m_counted -= std::min(m_counted, used);
        if (failure == http::error::need_more) {
            const bool full = m_buffer.size() == m_buffer.max_size();
            return full ? fail(header_too_large, connection_refusal::too_large) : receipt::incomplete;
        }
        if (failure) {
            return fail(failure);
        }
        if (used == 0) {
            break;
        }
    }
    return m_parser->is_done() ? check_complete() : receipt::incomplete;
}

bool request_reader::count_header_lines() {
    const auto bytes = m_buffer.data();
    const char* const begin = static_cast<const char*>(bytes.data());
    const char* const end = begin + bytes.size();
    const char* at = begin + m_counted;
    while (!m_header_counted && at < end) {
        const auto* const line_end =
            static_cast<const char*>(std::memchr(at, '\n', static_cast<std::size_t>(end - at)));
        const char* const next = line_end == nullptr ? end : line_end + 1;
        m_line_length += static_cast<std::size_t>(next - at);
        m_header_bytes += static_cast<std::size_t>(next - at);
        at = next;
        if (line_end != nullptr) {
            constexpr std::size_t empty_line = 2;
            m_header_counted = m_line_length <= empty_line;
            m_lines += m_header_counted ? 0 : 1;
            m_line_length = 0;
        }
    }
    m_counted = bytes.size();
    const std::size_t first_line = 1;
    return m_lines <= m_max_fields + first_line;
}

receipt request_reader::check_complete() {
    const auto& message = m_parser->get();
    const auto fields = static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    if (fields > m_max_fields) {
        return fail(header_too_large, connection_refusal::too_many_fields);
    }
    // RFC 9110, section 9.3.8; such a request can't be forwarded.
    if (message.method() == http::verb::trace && !message.body().empty()) {
        return fail(bad_request, connection_refusal::malformed);
    }
    return receipt::complete;
}

receipt request_reader::fail(unsigned status, connection_refusal cause) {
    m_failure = {status, cause};
    return receipt::unreadable;
}

receipt request_reader::fail(const boost::system::error_code& failure) {
    if (failure == http::error::body_limit) {
        return fail(payload_too_large, connection_refusal::too_large);
    }
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return fail(header_too_large, connection_refusal::too_large);
    }
    return fail(bad_request, connection_refusal::malformed);
}

received_request request_reader::release() {
    m_released_bytes = m_parser->get().body().capacity();
    return m_parser->release();
}

std::size_t request_reader::held_bytes() const {
    const std::size_t buffer = m_buffer.capacity() > usual_buffer ? m_buffer.capacity() : 0;
    const std::size_t body =
        m_parser ? std::max(m_parser->get().body().capacity(), m_released_bytes) : std::size_t{0};
    return buffer + body + m_header_bytes + m_lines * field_cost;
}

void request_reader::on_handled() {
    m_header_bytes = 0;
    m_lines = 0;
    m_released_bytes = 0;
}

void request_reader::free() {
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    on_handled();
}

} // namespace tamarack
