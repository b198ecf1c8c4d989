#pragma once

#include "beast_conversion.h"
#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace tamarack {

class http_session;

/** State shared by the sessions of one server. */
struct http_session_context {
    http_server_limits limits;
    http_handler handler;
    bool allow_keep_alive = true;
    std::unordered_set<http_session*> sessions;                  ///< all open connections
    std::unordered_set<std::shared_ptr<http_session>> answering; ///< those whose request has no response yet
    std::function<void()> on_all_closed; ///< set while closing; called once no connections are left
};

/**
 * One accepted connection of an http_server: reads requests one after another and writes their responses.
 *
 * A session keeps itself alive while an asynchronous operation is pending; its context does while a response
 * is.
 */
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_session_context> context);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(http_session&&) = delete;

    /** Starts to read the first request. */
    void start();

    /** Closes the connection if no part of a request has arrived; otherwise the request is still answered. */
    void close_if_idle();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Starts on the next request; waits for its first bytes at most as long as a connection may be idle. */
    void read_next();
    void wait_for_first_bytes();
    /** Reads the request whose first bytes have arrived, within the maximum time to receive one. */
    void read_request();
    void on_read(const boost::system::error_code& failure);
    void handle();
    void watch_for_close();
    void handle_disconnect();
    /** Stops waiting for the response. @return whether it was awaited */
    bool end_wait();
    void respond(http_response response);
    void refuse(unsigned status, const char* message);
    void write(http_response response, bool keep_alive);
    void close();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<http_session_context> m_context;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::optional<beast_response> m_response;
    std::function<void()> m_on_disconnect;
    bool m_awaiting_response = false;
    bool m_is_idle = false; ///< waiting for the first bytes of a request
    bool m_keep_alive = true;
    unsigned m_version = 11;
};

} // namespace tamarack
