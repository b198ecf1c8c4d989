#include "raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace tamarack::testing_support {

raw_connection::raw_connection(const std::string& address)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    if (connect(m_socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
        throw std::system_error{errno, std::generic_category(), "connect " + address};
    }
}

raw_connection::~raw_connection() {
    close(m_socket);
}

bool raw_connection::send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void raw_connection::close_sending() const {
    shutdown(m_socket, SHUT_WR);
}

std::string raw_connection::read_to_end(std::chrono::milliseconds limit) {
    std::string text;
    std::array<char, 4'096> piece{};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        pollfd waiting{m_socket, POLLIN, 0};
        if (remaining.count() <= 0 || poll(&waiting, 1, static_cast<int>(remaining.count())) <= 0) {
            return text;
        }
        const ssize_t count = recv(m_socket, piece.data(), piece.size(), 0);
        if (count <= 0) {
            m_closed_by_peer = true;
            return text;
        }
        text.append(piece.data(), static_cast<std::size_t>(count));
    }
}

} // namespace tamarack::testing_support
