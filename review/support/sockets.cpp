#include "sockets.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 512;
constexpr std::string_view end_of_head = "\r\n\r\n";

sockaddr_in to_native(const socket_address& address) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + address.ip);
    }
    return native;
}

void set_option(int socket, int level, int name, int value) {
    if (value != 0) {
        setsockopt(socket, level, name, &value, sizeof value);
    }
}

} // namespace

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept {
    if (this != &other) {
        reset();
        m_number = std::exchange(other.m_number, -1);
    }
    return *this;
}

void socket_handle::reset() {
    if (m_number >= 0) {
        close(std::exchange(m_number, -1));
    }
}

void socket_handle::shut_down() const {
    if (m_number >= 0) {
        shutdown(m_number, SHUT_RDWR);
    }
}

socket_handle listen_on(const socket_address& address, const listen_options& options) {
    socket_handle listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    set_option(listener.number(), SOL_SOCKET, SO_REUSEADDR, 1);
    set_option(listener.number(), IPPROTO_TCP, TCP_MAXSEG, options.max_segment);
    set_option(listener.number(), SOL_SOCKET, SO_RCVBUF, options.receive_buffer);
    const sockaddr_in native = to_native(address);
    if (bind(listener.number(), reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
        listen(listener.number(), backlog) != 0) {
        throw std::runtime_error("can't listen on " + address.text());
    }
    return listener;
}

socket_handle accept_from(const socket_handle& listener) {
    socket_handle accepted{accept4(listener.number(), nullptr, nullptr, SOCK_CLOEXEC)};
    if (accepted.is_open()) {
        set_option(accepted.number(), IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return accepted;
}

unsigned short port_of(const socket_handle& socket) {
    sockaddr_in native{};
    socklen_t size = sizeof native;
    getsockname(socket.number(), reinterpret_cast<sockaddr*>(&native), &size);
    return ntohs(native.sin_port);
}

socket_handle connect_to(const socket_address& address) {
    socket_handle connected{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const sockaddr_in native = to_native(address);
    set_option(connected.number(), IPPROTO_TCP, TCP_NODELAY, 1);
    if (connect(connected.number(), reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        connected.reset();
    }
    return connected;
}

std::string message_head::field(std::string_view name) const {
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& item) {
        return item.first.size() == name.size() &&
               strncasecmp(item.first.data(), name.data(), name.size()) == 0;
    });
    return found == fields.end() ? std::string{} : found->second;
}

std::size_t message_head::content_length() const {
    const std::string text = field("Content-Length");
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

int message_head::status() const {
    const auto space = first_line.find(' ');
    return space == std::string::npos
               ? 0
               : static_cast<int>(std::strtol(first_line.c_str() + space, nullptr, 10));
}

std::string message_head::path() const {
    const auto begin = first_line.find(' ');
    const auto end = first_line.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string{}
                                                      : first_line.substr(begin + 1, end - begin - 1);
}

void http_stream::set_timeout(std::chrono::milliseconds timeout) const {
    timeval value{};
    value.tv_sec = timeout.count() / 1'000;
    value.tv_usec = (timeout.count() % 1'000) * 1'000;
    setsockopt(m_socket.number(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    setsockopt(m_socket.number(), SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

bool http_stream::receive() {
    std::array<char, 4'096> bytes{};
    const ssize_t size = recv(m_socket.number(), bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<message_head> http_stream::read_head() {
    std::size_t end = m_buffer.find(end_of_head);
    while (end == std::string::npos) {
        if (!receive()) {
            return std::nullopt;
        }
        end = m_buffer.find(end_of_head);
    }
    message_head head;
    std::size_t begin = 0;
    while (begin < end + 2) {
        const std::size_t stop = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, stop - begin);
        const std::size_t colon = line.find(':');
        if (begin == 0) {
            head.first_line = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            head.fields.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? std::string{} : line.substr(value));
        }
        begin = stop + 2;
    }
    m_buffer.erase(0, end + end_of_head.size());
    return head;
}

std::string http_stream::read_bytes(std::size_t size) {
    while (m_buffer.size() < size && receive()) {
    }
    std::string bytes = m_buffer.substr(0, size);
    m_buffer.erase(0, bytes.size());
    return bytes;
}

bool http_stream::write(std::string_view bytes) const {
    while (!bytes.empty()) {
        const ssize_t size = send(m_socket.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

} // namespace review
