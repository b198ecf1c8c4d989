#include <utility>

#include "http_client.h"

#include "../threads/worker_thread_internals.h"
#include "beast_conversion.h"
#include "socket_address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <optional>
#include <string_view>

namespace tamarack {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/** Maximum size of a response's header; the users' platform allows request headers of the same size. */
constexpr std::uint32_t max_header_bytes = 16 * kibibyte;
/** Maximum number of bytes that are read and not yet parsed: a header, or the part of a body that Beast reads
 * at once. It also bounds chunk extensions and trailers, for which the parser has no limit of its own. */
constexpr std::size_t max_unparsed_bytes = 128 * kibibyte;

/** @return why a connection ended whose read failed */
connection_end end_of(const boost::system::error_code& failure) {
    if (failure == boost::asio::error::eof || failure == http::error::end_of_stream ||
        failure == http::error::partial_message) {
        return connection_end::closed;
    }
    const bool is_parse_error = failure.category() == make_error_code(http::error::bad_method).category();
    return is_parse_error ? connection_end::malformed_response : connection_end::failed;
}

/** @return whether a text contains the beginning of a response's status line */
bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t space_at = version.size() + 1; // after the minor version
    for (std::size_t at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        const std::string_view rest = text.substr(at);
        if (rest.size() > space_at + 1 && rest[space_at] == ' ' && rest[space_at + 1] >= '1' &&
            rest[space_at + 1] <= '5') {
            return true;
        }
    }
    return false;
}

/** @return whether a response begins with a part of another one, which was cut within its reason phrase or a
 * field's value. Its status is then the other one's, and its fields may all be its own. */
bool begins_with_another(const received_response& response) {
    const auto view_of = [](const auto& text) { return std::string_view{text.data(), text.size()}; };
    return contains_status_line(view_of(response.reason())) ||
           std::any_of(response.begin(), response.end(),
                       [&](const auto& field) { return contains_status_line(view_of(field.value())); });
}

/** A request that is being written. */
struct outgoing_request {
    std::string head;
    std::shared_ptr<const std::string> body; ///< may be shared with requests to other targets
};

} // namespace

struct http_connection::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, const endpoint& address, std::size_t limit,
                   http_connection_events handlers)
        : stream(owner.internals().context), host_field(address.value()), body_limit(limit),
          events(std::move(handlers)) {}

    void connect(const endpoint& address, duration timeout) {
        const auto parsed = parse_socket_address(address);
        if (!succeeded(parsed)) {
            boost::asio::post(stream.get_executor(),
                              [self = shared_from_this()] { self->end(connection_end::unreachable); });
            return;
        }
        stream.expires_after(timeout);
        stream.async_connect(value_of(parsed),
                             [self = shared_from_this()](const boost::system::error_code& failure) {
                                 self->on_connected(failure);
                             });
    }

    void on_connected(const boost::system::error_code& failure) {
        if (closed) {
            return;
        }
        if (failure) {
            end(connection_end::unreachable);
            return;
        }
        stream.expires_never();
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay{true}, ignored);
        read_next();
        if (events.opened) {
            events.opened();
        }
    }

    /** Keeps a read pending at all times, so that a close by the peer is detected on an idle connection too.
     * Bytes that arrive before a request is sent are not parsed: the beginning of a message would become part
     * of the next response. */
    void read_next() {
        parser.emplace();
        parser->header_limit(max_header_bytes);
        parser->body_limit(body_limit);
        received_bytes = 0;
        read_some([](implementation& self, const boost::system::error_code& failure) {
            self.on_first_bytes(failure);
        });
    }

    /** Reads into the buffer. @param then  called with the result, unless the connection is closed */
    template <typename Continuation>
    void read_some(Continuation then) {
        stream.async_read_some(
            buffer.prepare(boost::beast::read_size(buffer, max_unparsed_bytes)),
            [self = shared_from_this(), then](const boost::system::error_code& failure, std::size_t bytes) {
                if (self->closed) {
                    return;
                }
                self->buffer.commit(bytes);
                then(*self, failure);
            });
    }

    void on_first_bytes(const boost::system::error_code& failure) {
        if (failure && outgoing) {
            // The write, which is cancelled here, tells whether any byte of the request was sent.
            end_after_write = end_of(failure);
            stream.close();
            return;
        }
        if (failure) {
            end(end_of(failure));
            return;
        }
        if (!handler) {
            end(connection_end::unexpected_bytes);
            return;
        }
        parse();
    }

    /**
     * Parses the bytes in the buffer, and reads more until the response is complete.
     *
     * Parses the header separately: Beast's eager parsing continues with the body even if the declared length
     * exceeds the limit. Counts the parsed bytes, since the limit does not apply to a body without a length.
     */
    void parse() {
        boost::system::error_code failure;
        std::size_t used = 1;
        while (used > 0 && buffer.size() > 0 && !parser->is_done() && !failure) {
            parser->eager(parser->is_header_done());
            used = parser->put(buffer.data(), failure);
            buffer.consume(used);
            received_bytes += used;
        }
        const bool incomplete = !failure || failure == http::error::need_more;
        if (received_bytes > body_limit + max_header_bytes) {
            on_read(make_error_code(http::error::body_limit));
        } else if (!incomplete || parser->is_done()) {
            on_read(failure);
        } else if (buffer.size() == buffer.max_size()) {
            on_read(make_error_code(http::error::buffer_overflow));
        } else {
            read_some([](implementation& self, const boost::system::error_code& read_failure) {
                self.on_more_bytes(read_failure);
            });
        }
    }

    void on_more_bytes(const boost::system::error_code& failure) {
        if (!failure) {
            parse();
            return;
        }
        boost::system::error_code end_failure = failure;
        if (failure == boost::asio::error::eof) {
            parser->put_eof(end_failure); // the end of a body without a length
        }
        on_read(end_failure);
    }

    void on_read(const boost::system::error_code& failure) {
        if (closed) {
            return;
        }
        if (failure) {
            end(end_of(failure));
            return;
        }
        // Only the parser knows whether the response was ended by the close of its connection.
        const bool keeps_connection = parser->keep_alive();
        received_response response = parser->release();
        if (begins_with_another(response)) {
            end(connection_end::malformed_response);
            return;
        }
        const bool has_extra_bytes = buffer.size() > 0;
        // A server may respond before it has read the whole request. Whatever follows on this connection
        // would be read as the rest of that request.
        const bool reusable = keeps_connection && !outgoing && !has_extra_bytes;
        const auto receive = std::exchange(handler, nullptr);
        if (reusable) {
            read_next();
        }
        const auto self = shared_from_this();
        http_response received = from_beast(std::move(response));
        received.ends_connection = !reusable;
        received.followed_by_bytes = has_extra_bytes;
        receive(std::move(received));
        if (!reusable && !closed) {
            end(has_extra_bytes ? connection_end::unexpected_bytes : connection_end::ended_by_response);
        }
    }

    void send(const http_request& request, http_response_handler on_response) {
        require_invariant(!handler && !outgoing, "a connection carries one request at a time");
        handler = std::move(on_response);
        if (is_closed_by_peer()) {
            unsent = true;
            boost::asio::post(stream.get_executor(), [self = shared_from_this()] {
                if (!self->closed) {
                    self->end(connection_end::failed);
                }
            });
            return;
        }
        outgoing_request& sent = outgoing.emplace();
        sent.body =
            request.shared_body ? request.shared_body : std::make_shared<const std::string>(request.body);
        sent.head = write_request_head(request, host_field, sent.body->size());
        const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(sent.head),
                                                               boost::asio::buffer(*sent.body)};
        boost::asio::async_write(
            stream, buffers,
            [self = shared_from_this()](const boost::system::error_code& failure, std::size_t bytes) {
                self->outgoing.reset();
                if (self->closed) {
                    return;
                }
                if (failure || self->end_after_write) {
                    self->unsent = failure && bytes == 0;
                    self->end(self->end_after_write.value_or(connection_end::failed));
                } else if (self->events.written) {
                    self->events.written();
                }
            });
    }

    /** @return whether a read would report the end of the connection; costs one system call */
    bool is_closed_by_peer() {
        char next = 0;
        const ssize_t peeked =
            ::recv(stream.socket().native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
        return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    void end(connection_end cause) {
        const auto lost = std::move(events.lost);
        close();
        if (lost) {
            lost(unsent ? connection_end::request_unsent : cause);
        }
    }

    void close() {
        closed = true;
        handler = nullptr;
        events = {};
        stream.close();
    }

    boost::beast::tcp_stream stream;
    std::string host_field;
    std::size_t body_limit;
    std::size_t received_bytes = 0; ///< of the current response
    http_connection_events events;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<http::response_parser<received_body>> parser;
    std::optional<outgoing_request> outgoing; ///< the request that is being written
    http_response_handler handler;
    /** The read has failed with this end, which is reported once the write has ended. */
    std::optional<connection_end> end_after_write;
    bool unsent = false; ///< no byte of the current request was passed to the system, and none will be
    bool closed = false;
};

http_connection::http_connection(worker_thread& thread, const endpoint& address, duration connect_timeout,
                                 std::size_t body_limit, http_connection_events events)
    : m_implementation(std::make_shared<implementation>(thread, address, body_limit, std::move(events))) {
    m_implementation->connect(address, connect_timeout);
}

http_connection::~http_connection() {
    if (!m_implementation->closed) {
        m_implementation->close();
    }
}

void http_connection::send(const http_request& request, http_response_handler handler) {
    if (!m_implementation->closed) {
        m_implementation->send(request, std::move(handler));
    }
}

namespace {

/** A request in flight on its own connection. */
struct pending_fetch {
    std::function<void(outcome<http_response>)> handler;
    std::unique_ptr<http_connection> connection;

    void finish(outcome<http_response> result) {
        const auto deliver = std::exchange(handler, nullptr);
        if (!deliver) {
            return;
        }
        connection.reset();
        deliver(std::move(result));
    }
};

constexpr std::size_t max_fetched_body_bytes = 64 * mebibyte;

} // namespace

void fetch(worker_thread& thread, const endpoint& address, const http_request& request, duration timeout,
           std::function<void(outcome<http_response>)> handler) {
    auto pending = std::make_shared<pending_fetch>();
    pending->handler = std::move(handler);
    http_connection_events events;
    events.opened = [pending, request] {
        pending->connection->send(
            request, [pending](http_response response) { pending->finish(std::move(response)); });
    };
    events.lost = [pending, address](connection_end) {
        pending->finish(error{error_code::unavailable, "no answer from " + address.value()});
    };
    pending->connection = std::make_unique<http_connection>(thread, address, timeout, max_fetched_body_bytes,
                                                            std::move(events));
    thread.run_at(steady_now() + timeout, [pending, address] {
        pending->finish(error{error_code::timed_out, "no answer in time from " + address.value()});
    });
}

outcome<http_response> fetch_and_wait(const endpoint& address, const http_request& request,
                                      duration timeout) {
    std::promise<outcome<http_response>> promise;
    auto future = promise.get_future();
    worker_thread thread{"fetch", 1};
    fetch(thread, address, request, timeout,
          [&promise](outcome<http_response> result) { promise.set_value(std::move(result)); });
    thread.start();
    return future.get();
}

} // namespace tamarack
