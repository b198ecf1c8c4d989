#pragma once

#include "beast_conversion.h"
#include "connection_budget.h"
#include "http_server.h"
#include "request_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace tamarack {

class http_session;

/** State shared by the sessions of one server. */
struct http_session_context {
    http_session_context(const http_server_limits& server_limits, http_handler server_handler);

    /**
     * Ends the connection that has waited longest without ever sending a byte. Examines only the oldest ones,
     * so that the cost is bounded while many callers connect at once.
     *
     * @return whether there was one
     */
    bool end_unused_connection();
    void report(connection_refusal cause) const;

    http_server_limits limits;
    http_handler handler;
    connection_budget budget;
    std::function<void(connection_refusal)> on_refusal;
    budget_holder_list unused; ///< connections that have never sent a byte, oldest first
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
class http_session : public budget_holder, public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_session_context> context);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    http_session(http_session&&) = delete;
    http_session& operator=(http_session&&) = delete;

    /** Starts to read the first request. */
    void start();

    /** @return whether bytes have arrived that were not read */
    bool has_unread_bytes() const;

    /** Closes the connection if no part of a request has arrived; otherwise the request is still answered. */
    void close_if_idle();

    /** Ends the connection at once, to give its memory or place to another one. Its request is not passed on.
     */
    void end_early(connection_refusal cause);

private:
    /** Starts on the next request; waits for its first bytes at most as long as a connection may be idle. */
    void read_next();
    void wait_for_first_bytes();
    /** Reads the request whose first bytes have arrived, within the maximum time to receive one. */
    void read_request();
    void read_more();
    void on_read(const boost::system::error_code& failure, std::size_t bytes);
    /** Parses what has arrived, and handles the request once it is complete. */
    void advance();
    void handle();
    void watch_for_close();
    void handle_disconnect();
    /** Stops waiting for the response. @return whether it was awaited */
    bool end_wait();
    void respond(http_response response);
    void refuse(unsigned status, connection_refusal cause, const char* message);
    void write(http_response response, bool keep_alive);
    void close();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<http_session_context> m_context;
    request_reader m_reader;
    std::optional<beast_response> m_response;
    std::function<void()> m_on_disconnect;
    bool m_awaiting_response = false;
    bool m_is_idle = false;  ///< waiting for the first bytes of a request
    bool m_was_used = false; ///< has sent a byte
    bool m_ended = false;    ///< closed while an operation was pending
    bool m_keep_alive = true;
    unsigned m_version = 11;
};

} // namespace tamarack
