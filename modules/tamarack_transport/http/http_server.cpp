#include <utility>

#include "http_server.h"

#include "../threads/worker_thread_internals.h"
#include "http_session.h"
#include "socket_address.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace tamarack {

namespace {

using boost::asio::ip::tcp;

constexpr duration accept_retry_delay = 50ms;

} // namespace

struct http_server::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, http_server_limits limits, http_handler handler)
        : thread(owner), acceptor(owner.internals().context),
          context(std::make_shared<http_session_context>(limits, std::move(handler))) {}

    ~implementation() { std::exchange(context->answering, {}).clear(); }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    boost::system::error_code open(const tcp::endpoint& address) {
        boost::system::error_code failure;
        acceptor.open(address.protocol(), failure);
        if (!failure) {
            acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
        }
        if (!failure) {
            acceptor.bind(address, failure);
        }
        if (!failure) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
        }
        return failure;
    }

    void accept_next() {
        acceptor.async_accept(
            [weak = weak_from_this()](const boost::system::error_code& failure, tcp::socket socket) {
                if (const auto self = weak.lock()) {
                    self->on_accepted(failure, std::move(socket));
                }
            });
    }

    void on_accepted(const boost::system::error_code& failure, tcp::socket socket) {
        if (!acceptor.is_open()) {
            return;
        }
        if (failure) {
            if (failure == boost::asio::error::no_descriptors) {
                context->end_unused_connection();
            }
            thread.run_at(steady_now() + accept_retry_delay, [weak = weak_from_this()] {
                const auto self = weak.lock();
                if (self && self->acceptor.is_open()) {
                    self->accept_next();
                }
            });
            return;
        }
        serve(std::move(socket));
        accept_next();
    }

    void serve(tcp::socket socket) const {
        if (context->sessions.size() >= context->limits.connections && !context->end_unused_connection()) {
            context->report(connection_refusal::too_many_connections);
            return;
        }
        std::make_shared<http_session>(std::move(socket), context)->start();
    }

    /** Accepts the connections in the backlog, which would be reset when the listening socket is closed. */
    void accept_pending() {
        boost::system::error_code failure;
        acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket{acceptor.get_executor()};
            acceptor.accept(socket, failure);
            if (!failure) {
                serve(std::move(socket));
            }
        }
    }

    worker_thread& thread;
    tcp::acceptor acceptor;
    std::shared_ptr<http_session_context> context;
};

http_server::http_server(worker_thread& thread, http_server_limits limits, http_handler handler)
    : m_implementation(std::make_shared<implementation>(thread, limits, std::move(handler))) {}

http_server::~http_server() = default;

outcome<endpoint> http_server::listen(const endpoint& address) {
    const auto parsed = parse_socket_address(address);
    if (!succeeded(parsed)) {
        return error_of(parsed);
    }
    if (const auto failure = m_implementation->open(value_of(parsed))) {
        return error{error_code::input_output,
                     "can't listen on " + address.value() + ": " + failure.message()};
    }
    m_implementation->accept_next();
    return to_endpoint(m_implementation->acceptor.local_endpoint());
}

void http_server::set_limits(const http_server_limits& limits) {
    m_implementation->context->limits = limits;
    m_implementation->context->budget.set_limit(limits.memory);
}

void http_server::on_refusal(std::function<void(connection_refusal)> refused) {
    m_implementation->context->on_refusal = std::move(refused);
}

void http_server::close_after_responses() {
    m_implementation->context->allow_keep_alive = false;
}

void http_server::stop_accepting() {
    m_implementation->context->allow_keep_alive = false;
    if (!m_implementation->acceptor.is_open()) {
        return;
    }
    m_implementation->accept_pending();
    boost::system::error_code ignored;
    m_implementation->acceptor.close(ignored);
}

void http_server::close_connections(std::function<void()> closed) {
    stop_accepting();
    http_session_context& context = *m_implementation->context;
    if (context.sessions.empty()) {
        closed();
        return;
    }
    context.on_all_closed = std::move(closed);
    for (http_session* session : context.sessions) {
        session->close_if_idle();
    }
}

std::size_t http_server::connections() const {
    return m_implementation->context->sessions.size();
}

} // namespace tamarack
