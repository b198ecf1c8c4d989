#include <utility>

#include "http_session.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/write.hpp>

#include <string_view>

namespace tamarack {

namespace {

namespace http = boost::beast::http;

constexpr unsigned bad_request = 400;
constexpr unsigned unavailable = 503;

/** Time after which a request that was refused for memory may be repeated, in seconds: by then, connections
 * that hold memory without completing their request have reached the age at which others may end them. */
constexpr auto retry_after = "1.0";

/** Sent to a connection that is ended within its request, as far as the socket takes it at once. */
constexpr std::string_view ended_response =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

} // namespace

http_session_context::http_session_context(const http_server_limits& server_limits,
                                           http_handler server_handler)
    : limits(server_limits), handler(std::move(server_handler)),
      budget(server_limits.memory, [](budget_holder& holder) {
          static_cast<http_session&>(holder).end_early(connection_refusal::ended_for_memory);
      }) {}

bool http_session_context::end_unused_connection() {
    constexpr int max_examined = 16;
    int examined = 0;
    for (auto listed = unused.begin(); listed != unused.end() && examined < max_examined; ++listed) {
        auto& session = static_cast<http_session&>(*listed);
        if (!session.has_unread_bytes()) {
            unused.erase(listed);
            session.end_early(connection_refusal::unused);
            return true;
        }
        ++examined;
    }
    return false;
}

void http_session_context::report(connection_refusal cause) const {
    if (on_refusal) {
        on_refusal(cause);
    }
}

http_session::http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_session_context> context)
    : m_stream(std::move(socket)), m_context(std::move(context)), m_reader(m_context->limits.header_bytes) {
    m_context->sessions.insert(this);
}

http_session::~http_session() {
    m_context->budget.release(*this);
    m_context->sessions.erase(this);
    if (m_context->sessions.empty() && m_context->on_all_closed) {
        std::exchange(m_context->on_all_closed, nullptr)();
    }
}

void http_session::start() {
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    m_context->unused.push_back(*this);
    read_next();
}

void http_session::read_next() {
    m_reader.begin(m_context->limits);
    if (m_reader.has_bytes()) {
        read_request();
        return;
    }
    wait_for_first_bytes();
}

void http_session::wait_for_first_bytes() {
    m_stream.expires_after(m_context->limits.idle);
    m_is_idle = true;
    m_stream.async_read_some(
        m_reader.prepare(),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t size) {
            self->m_is_idle = false;
            if (failure || self->m_ended) {
                self->close();
                return;
            }
            self->m_was_used = true;
            self->m_reader.commit(size);
            self->read_request();
        });
    if (m_context->on_all_closed) {
        close_if_idle();
    }
}

bool http_session::has_unread_bytes() const {
    boost::system::error_code failure;
    return m_stream.socket().available(failure) > 0 && !failure;
}

void http_session::close_if_idle() {
    if (m_is_idle && !has_unread_bytes()) {
        close();
    }
}

void http_session::read_request() {
    m_stream.expires_after(m_context->limits.receipt);
    m_context->budget.begin(*this, steady_now());
    advance();
}

void http_session::read_more() {
    m_stream.async_read_some(m_reader.prepare(), [self = shared_from_this()](
                                                     const boost::system::error_code& failure,
                                                     std::size_t bytes) { self->on_read(failure, bytes); });
}

void http_session::on_read(const boost::system::error_code& failure, std::size_t bytes) {
    if (m_ended) {
        return;
    }
    if (failure == boost::asio::error::eof && m_reader.is_cut_off_by_end()) {
        refuse(bad_request, connection_refusal::malformed, "the request can't be read");
        return;
    }
    if (failure) {
        if (failure == boost::beast::error::timeout) {
            m_context->report(connection_refusal::too_slow);
        }
        close();
        return;
    }
    m_reader.commit(bytes);
    advance();
}

void http_session::advance() {
    const receipt progress = m_reader.advance();
    if (progress == receipt::unreadable) {
        refuse(m_reader.failure().status, m_reader.failure().cause, "the request can't be read");
        return;
    }
    const std::size_t held = m_reader.held_bytes();
    if (held != held_bytes() && !m_context->budget.resize(*this, held, steady_now())) {
        refuse(unavailable, connection_refusal::refused_for_memory, "the host is short of memory");
        return;
    }
    if (progress == receipt::complete) {
        handle();
        return;
    }
    read_more();
}

void http_session::handle() {
    connection_budget::finish(*this);
    received_request request = m_reader.release();
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
    m_reader.on_handled();
    const bool keep_alive = m_keep_alive && m_context->allow_keep_alive && !response.ends_connection;
    write(std::move(response), keep_alive);
}

void http_session::refuse(unsigned status, connection_refusal cause, const char* message) {
    m_context->report(cause);
    m_reader.free();
    http_response response;
    response.status = status;
    response.fields.emplace_back("Content-Type", "application/json");
    if (status == unavailable) {
        response.fields.emplace_back("Retry-After", retry_after);
    }
    const auto* const error = status == unavailable ? "unavailable" : "malformed";
    response.body = std::string{R"({"error":")"} + error + R"(","message":")" + message + "\"}";
    write(std::move(response), false);
}

void http_session::write(http_response response, bool keep_alive) {
    const time_point now = steady_now();
    m_context->budget.begin(*this, now);
    if (!m_context->budget.resize(*this, m_reader.held_bytes() + response.body.capacity(), now)) {
        m_context->report(connection_refusal::refused_for_memory);
        close();
        return;
    }
    m_response.emplace(to_beast(std::move(response), m_version, keep_alive));
    m_stream.expires_after(m_context->limits.receipt);
    http::async_write(
        m_stream, *m_response,
        [self = shared_from_this(), keep_alive](const boost::system::error_code& failure, std::size_t) {
            self->m_response.reset();
            self->m_context->budget.release(*self);
            if (failure == boost::beast::error::timeout) {
                self->m_context->report(connection_refusal::too_slow);
            }
            if (failure || !keep_alive || self->m_ended) {
                self->close();
                return;
            }
            self->read_next();
        });
}

void http_session::end_early(connection_refusal cause) {
    m_context->report(cause);
    m_ended = true;
    if (m_was_used && !m_response) {
        boost::system::error_code ignored;
        m_stream.socket().non_blocking(true, ignored);
        m_stream.socket().send(boost::asio::buffer(ended_response), 0, ignored);
    }
    m_reader.free();
    close();
}

void http_session::close() {
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace tamarack
