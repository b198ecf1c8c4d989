#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/** An IPv4 address and a port. */
struct socket_address {
    std::string ip;
    unsigned short port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** Options of a listening socket, as a network with small segments and windows would set them. */
struct listen_options {
    int max_segment = 0;    ///< in bytes; 0 leaves the default
    int receive_buffer = 0; ///< in bytes; 0 leaves the default
};

/** Owns a socket. */
class socket_handle {
public:
    socket_handle() = default;
    explicit socket_handle(int number) : m_number(number) {}
    ~socket_handle() { reset(); }
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;
    socket_handle(socket_handle&& other) noexcept : m_number(std::exchange(other.m_number, -1)) {}
    socket_handle& operator=(socket_handle&& other) noexcept;

    int number() const { return m_number; }
    bool is_open() const { return m_number >= 0; }
    void reset();
    /** Ends reads and writes of other threads on this socket. */
    void shut_down() const;

private:
    int m_number = -1;
};

/** Listens on an address; port 0 selects a free port. */
socket_handle listen_on(const socket_address& address, const listen_options& options = {});
socket_handle accept_from(const socket_handle& listener);
unsigned short port_of(const socket_handle& socket);
socket_handle connect_to(const socket_address& address);

/** The header of an HTTP/1.1 message. */
struct message_head {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;

    std::string field(std::string_view name) const;
    std::size_t content_length() const;
    /** @return the status of a response, 0 if there is none */
    int status() const;
    /** @return the path of a request */
    std::string path() const;
};

/** Reads and writes HTTP/1.1 messages on a connection. */
class http_stream {
public:
    explicit http_stream(socket_handle socket) : m_socket(std::move(socket)) {}

    /** Time-out of each read and write. */
    void set_timeout(std::chrono::milliseconds timeout) const;
    std::optional<message_head> read_head();
    /** Reads that many bytes, fewer only if the connection ends. */
    std::string read_bytes(std::size_t size);
    bool write(std::string_view bytes) const;
    const socket_handle& socket() const { return m_socket; }

private:
    bool receive();

    socket_handle m_socket;
    std::string m_buffer;
};

} // namespace review
