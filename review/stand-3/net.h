#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** An IPv4 address and a port. All addresses of the cases are loopback addresses. */
struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** What a wait for bytes ended with. */
enum class receipt { bytes, timed_out, ended };

/** A TCP socket, closed with the object. All waits are bounded. */
class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int descriptor) : m_descriptor(descriptor) {}
    ~tcp_socket() { close(); }
    tcp_socket(tcp_socket&& other) noexcept : m_descriptor(other.release()) {}
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    bool is_open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    /** @return whether all bytes were passed to the system in time */
    bool send_all(std::string_view bytes, milliseconds limit = milliseconds{5'000}) const;
    /** Appends received bytes to a text. */
    receipt receive_some(std::string& into, milliseconds limit) const;
    void close();

private:
    int release();

    int m_descriptor = -1;
};

/** @return a listening socket; the port is set to the one that the system chose if it was 0 */
tcp_socket listen_at(address& at, int backlog);
tcp_socket accept_from(const tcp_socket& listener, milliseconds limit);
tcp_socket connect_to(const address& at, milliseconds limit);
/** @return whether a port is free at an address */
bool is_free(const address& at);

/** An HTTP/1.1 message. Names of fields are in lower case. */
struct http_message {
    std::string first_line;
    std::multimap<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const;
    int status() const;
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const;
};

/** How a message's end is found. */
enum class body_rule {
    as_stated, ///< by Content-Length, none means no body
    none,      ///< the message has no body, whatever its header says (answers to HEAD)
};

/**
 * Reads one message. Bytes that follow it stay in the buffer.
 *
 * @return std::nullopt if no whole message comes within the limit
 */
std::optional<http_message> read_message(const tcp_socket& from, std::string& buffer, milliseconds limit,
                                         body_rule rule = body_rule::as_stated);

/** Sends one request on a new connection. @return the answer, if a whole one comes within the limit */
std::optional<http_message> call(const address& at, const std::string& request, milliseconds limit);

} // namespace review
