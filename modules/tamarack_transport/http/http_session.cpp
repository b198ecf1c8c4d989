#include <utility>

#include "http_session.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace tamarack {

namespace {

namespace http = boost::beast::http;

constexpr unsigned bad_request = 400;
constexpr unsigned payload_too_large = 413;
constexpr unsigned header_too_large = 431;

/** @return the status for a request that can't be parsed; 0 when the connection was closed or timed out */
unsigned error_status(const boost::system::error_code& failure) {
    if (failure == http::error::body_limit) {
        return payload_too_large;
    }
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return header_too_large;
    }
    const bool disconnected = failure == http::error::end_of_stream ||
                              failure == boost::beast::error::timeout ||
                              failure == boost::asio::error::operation_aborted;
    const bool malformed = failure.category() == http::make_error_code(http::error::bad_method).category();
    return malformed && !disconnected ? bad_request : 0;
}

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_session_context> context)
    : m_stream(std::move(socket)), m_context(std::move(context)),
      m_buffer(2 * m_context->limits.header_bytes) {
    m_context->sessions.insert(this);
}

http_session::~http_session() {
    m_context->sessions.erase(this);
    if (m_context->sessions.empty() && m_context->on_all_closed) {
        std::exchange(m_context->on_all_closed, nullptr)();
    }
}

void http_session::start() {
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    read_next();
}

void http_session::read_next() {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_context->limits.header_bytes));
    m_parser->body_limit(m_context->limits.body_bytes);
    if (m_buffer.size() > 0) {
        read_request();
        return;
    }
    wait_for_first_bytes();
}

void http_session::wait_for_first_bytes() {
    constexpr std::size_t first_read = 4 * kibibyte;
    m_stream.expires_after(m_context->limits.idle);
    m_is_idle = true;
    m_stream.async_read_some(
        m_buffer.prepare(std::min(first_read, m_buffer.max_size())),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t size) {
            self->m_is_idle = false;
            if (failure) {
                self->close();
                return;
            }
            self->m_buffer.commit(size);
            self->read_request();
        });
    if (m_context->on_all_closed) {
        close_if_idle();
    }
}

void http_session::close_if_idle() {
    boost::system::error_code failure;
    const bool has_input = m_stream.socket().available(failure) > 0 && !failure;
    if (m_is_idle && !has_input) {
        close();
    }
}

void http_session::read_request() {
    m_stream.expires_after(m_context->limits.receipt);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
                         self->on_read(failure);
                     });
}

void http_session::on_read(const boost::system::error_code& failure) {
    if (!failure) {
        handle();
        return;
    }
    if (const unsigned status = error_status(failure); status != 0) {
        refuse(status, "the request can't be read");
        return;
    }
    close();
}

void http_session::handle() {
    beast_request request = m_parser->release();
    m_version = request.version();
    m_keep_alive = request.keep_alive();
    m_awaiting_response = true;
    m_stream.expires_never();

    auto responder = [weak = weak_from_this()](http_response response) {
        if (const auto self = weak.lock()) {
            self->respond(std::move(response));
        }
    };
    auto on_disconnect = m_context->handler(from_beast(std::move(request)), std::move(responder));
    if (m_awaiting_response) {
        m_context->answering.insert(shared_from_this());
        m_on_disconnect = std::move(on_disconnect);
        watch_for_close();
    }
}

/** Ends once bytes of a next request arrive: the peer's departure is then noticed when the response is
 * written. */
void http_session::watch_for_close() {
    m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                 [self = shared_from_this()](const boost::system::error_code& failure) {
                                     if (failure || !self->m_awaiting_response) {
                                         return;
                                     }
                                     char peeked = 0;
                                     boost::system::error_code status;
                                     self->m_stream.socket().non_blocking(true, status);
                                     const std::size_t size = self->m_stream.socket().receive(
                                         boost::asio::buffer(&peeked, 1),
                                         boost::asio::socket_base::message_peek, status);
                                     if (size == 0 && status != boost::asio::error::would_block) {
                                         self->handle_disconnect();
                                     }
                                 });
}

bool http_session::end_wait() {
    const bool awaited = std::exchange(m_awaiting_response, false);
    m_context->answering.erase(shared_from_this());
    return awaited;
}

void http_session::handle_disconnect() {
    end_wait();
    if (const auto on_disconnect = std::exchange(m_on_disconnect, nullptr)) {
        on_disconnect();
    }
    close();
}

void http_session::respond(http_response response) {
    if (!end_wait()) {
        return;
    }
    m_on_disconnect = nullptr;
    const bool keep_alive = m_keep_alive && m_context->allow_keep_alive && !response.ends_connection;
    write(std::move(response), keep_alive);
}

void http_session::refuse(unsigned status, const char* message) {
    http_response response;
    response.status = status;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = std::string{R"({"error":"malformed","message":")"} + message + "\"}";
    write(std::move(response), false);
}

void http_session::write(http_response response, bool keep_alive) {
    m_response.emplace(to_beast(std::move(response), m_version, keep_alive));
    m_stream.expires_after(m_context->limits.receipt);
    http::async_write(
        m_stream, *m_response,
        [self = shared_from_this(), keep_alive](const boost::system::error_code& failure, std::size_t) {
            if (failure || !keep_alive) {
                self->close();
                return;
            }
            self->read_next();
        });
}

void http_session::close() {
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace tamarack
