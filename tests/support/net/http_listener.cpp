#include "http_listener.h"

#include "event_loop_internals.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <functional>
#include <optional>
#include <sstream>
#include <utility>

namespace tamarack::testing_support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct http_listener::implementation {
    implementation(event_loop& event_source, listener_options chosen, plain_handler handle)
        : loop(&event_source), options(chosen), handler(std::move(handle)),
          acceptor(event_source.internals().context) {}

    event_loop* loop;
    listener_options options;
    plain_handler handler;
    tcp::acceptor acceptor;
    listener_counts counts;
    std::uint64_t last_connection = 0;
    std::uint64_t silent_up_to = 0; ///< connections numbered up to this one are silent
};

namespace {

constexpr std::uint64_t max_body_bytes = 64'000'000;
/** Long enough for a response to be received before it is repeated. */
constexpr std::chrono::milliseconds repetition_delay{5};
/** Number of bytes of the first field's value that are sent if only the beginning of a response is. */
constexpr std::size_t sent_value_bytes = 2;

template <typename Fields>
header_fields copy_fields(const Fields& from) {
    header_fields fields;
    for (const auto& field : from) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        fields[name] = std::string{field.value()};
    }
    return fields;
}

/** One connection; stays alive while an operation on it is pending. */
template <typename Listener>
class session : public std::enable_shared_from_this<session<Listener>> {
public:
    session(tcp::socket socket, std::shared_ptr<Listener> listener, std::uint64_t number)
        : m_stream(std::move(socket)), m_listener(std::move(listener)), m_number(number) {
        m_stream.socket().set_option(tcp::no_delay{true});
    }

    ~session() { --m_listener->counts.open; }

    session(const session&) = delete;
    session& operator=(const session&) = delete;
    session(session&&) = delete;
    session& operator=(session&&) = delete;

    void start() {
        m_listener->loop->run_after(m_listener->options.connection_cost,
                                    [self = this->shared_from_this()] { self->read(); });
    }

private:
    using response_message = http::response<http::string_body>;

    void read() {
        m_parser.emplace();
        m_parser->body_limit(max_body_bytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = this->shared_from_this()](const beast::error_code& failure, std::size_t) {
                             if (!failure) {
                                 self->is_silent() ? self->wait_for_close() : self->on_request();
                             }
                         });
    }

    bool is_silent() const { return m_number <= m_listener->silent_up_to; }

    void on_request() {
        if (m_repetition != repetition::after_next_request) {
            handle();
            return;
        }
        repeat_previous([self = this->shared_from_this()] {
            self->m_listener->loop->run_after(repetition_delay, [self] { self->handle(); });
        });
    }

    void handle() {
        auto message = m_parser->release();
        plain_request request;
        request.method = std::string{message.method_string()};
        request.path = std::string{message.target()};
        request.fields = copy_fields(message.base());
        request.body = std::move(message.body());
        request.connection = m_number;
        m_listener->handler(std::move(request),
                            [self = this->shared_from_this(), keep = message.keep_alive()](
                                plain_response response) { self->write(std::move(response), keep); });
    }

    void write(plain_response response, bool keep) {
        if (is_silent()) {
            wait_for_close();
            return;
        }
        if (m_repetition != repetition::before_next_response) {
            write_response(response, keep);
            return;
        }
        repeat_previous([self = this->shared_from_this(), response = std::move(response), keep] {
            self->write_response(response, keep);
        });
    }

    static response_message message_of(const plain_response& response, unsigned status, bool keep) {
        response_message message;
        message.result(status);
        for (const auto& [name, value] : response.fields) {
            message.set(name, value);
        }
        message.body() = response.body;
        message.keep_alive(keep);
        message.prepare_payload();
        return message;
    }

    void write_response(const plain_response& response, bool keep) {
        m_repetition = response.repeated;
        if (m_repetition != repetition::none) {
            std::ostringstream bytes;
            bytes << message_of(response, response.repeated_status.value_or(response.status), keep);
            m_repeated_bytes = bytes.str();
        }
        m_response = message_of(response, response.status, keep);
        http::async_write(
            m_stream, m_response,
            [self = this->shared_from_this(), keep](const beast::error_code& failure, std::size_t) {
                if (!failure && keep) {
                    self->on_written();
                }
            });
    }

    void on_written() {
        if (m_repetition == repetition::begun_while_idle) {
            m_repeated_bytes.resize(m_repeated_bytes.find(": ") + std::string{": "}.size() +
                                    sent_value_bytes);
        } else if (m_repetition != repetition::while_idle) {
            read();
            return;
        }
        m_listener->loop->run_after(repetition_delay, [self = this->shared_from_this()] {
            self->repeat_previous([self] { self->read(); });
        });
    }

    void repeat_previous(std::function<void()> go_on) {
        m_repetition = repetition::none;
        asio::async_write(m_stream, asio::buffer(m_repeated_bytes),
                          [self = this->shared_from_this(),
                           go_on = std::move(go_on)](const beast::error_code& failure, std::size_t) {
                              if (!failure) {
                                  go_on();
                              }
                          });
    }

    /** Discards received data until the peer closes the connection. */
    void wait_for_close() {
        m_buffer.consume(m_buffer.size());
        m_stream.async_read_some(m_buffer.prepare(1'024), [self = this->shared_from_this()](
                                                              const beast::error_code& failure, std::size_t) {
            if (!failure) {
                self->wait_for_close();
            }
        });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<Listener> m_listener;
    std::uint64_t m_number;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    response_message m_response;
    repetition m_repetition = repetition::none; ///< of the previous response, as long as it is due
    std::string m_repeated_bytes;
};

template <typename Listener>
void accept_next(const std::shared_ptr<Listener>& listener) {
    listener->acceptor.async_accept([listener](const beast::error_code& failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        listener_counts& counts = listener->counts;
        if (!failure && counts.open >= listener->options.connections) {
            ++counts.refused;
        } else if (!failure) {
            ++counts.accepted;
            ++counts.open;
            counts.max_open = std::max(counts.max_open, counts.open);
            std::make_shared<session<Listener>>(std::move(socket), listener, ++listener->last_connection)
                ->start();
        }
        accept_next(listener);
    });
}

} // namespace

http_listener::http_listener(event_loop& loop, listener_options options, plain_handler handler)
    : m_implementation(std::make_shared<implementation>(loop, options, std::move(handler))) {}

http_listener::~http_listener() {
    stop_accepting();
}

std::string http_listener::listen(const std::string& ip, unsigned short port) {
    tcp::acceptor& acceptor = m_implementation->acceptor;
    const tcp::endpoint wanted{asio::ip::make_address(ip), port};
    acceptor.open(wanted.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.bind(wanted);
    acceptor.listen();
    accept_next(m_implementation);
    return ip + ":" + std::to_string(acceptor.local_endpoint().port());
}

void http_listener::silence_open_connections() {
    m_implementation->silent_up_to = m_implementation->last_connection;
}

void http_listener::stop_accepting() {
    beast::error_code ignored;
    m_implementation->acceptor.close(ignored);
}

listener_counts http_listener::counts() const {
    return m_implementation->counts;
}

} // namespace tamarack::testing_support
