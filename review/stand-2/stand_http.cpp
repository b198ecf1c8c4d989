#include "stand.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr std::size_t read_size = 65'536;

bool same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

int left_until(steady::time_point until) {
    const auto left = std::chrono::ceil<milliseconds>(until - steady::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 3'600'000));
}

sockaddr_in address_of(const std::string& text) {
    sockaddr_in parsed{};
    const auto colon = text.rfind(':');
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

std::size_t number_of(const std::string& text, int base) {
    try {
        return std::stoull(text, nullptr, base);
    } catch (const std::exception&) {
        return 0;
    }
}

} // namespace

std::string message::field(std::string_view name) const {
    for (const auto& [listed, value] : fields) {
        if (same_name(listed, name)) {
            return value;
        }
    }
    return {};
}

bool message::has_field(std::string_view name) const {
    return std::any_of(fields.begin(), fields.end(),
                       [&](const auto& listed) { return same_name(listed.first, name); });
}

connection::~connection() {
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

std::unique_ptr<connection> connection::open(const std::string& address, milliseconds limit) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return nullptr;
    }
    auto opened = std::make_unique<connection>(socket);
    const sockaddr_in to = address_of(address);
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    const int begun = ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    if (begun != 0 && errno == EINPROGRESS) {
        pollfd waiting{socket, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (::poll(&waiting, 1, static_cast<int>(limit.count())) != 1 ||
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
            return nullptr;
        }
    } else if (begun != 0) {
        return nullptr;
    }
    ::fcntl(socket, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return opened;
}

bool connection::write(std::string_view bytes) const {
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::read_more(steady::time_point until) {
    pollfd waiting{m_socket, POLLIN, 0};
    if (::poll(&waiting, 1, left_until(until)) != 1) {
        return false;
    }
    std::array<char, read_size> part{};
    const ssize_t size = ::recv(m_socket, part.data(), part.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(part.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::read_head(message& read, steady::time_point until) {
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_more(until)) {
            return false;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    const std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    const std::size_t first_end = head.find("\r\n");
    const std::string first = head.substr(0, first_end);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (space == std::string::npos) {
        return false;
    }
    read.method = first.substr(0, space);
    read.path = first.substr(space + 1, second - space - 1);
    read.status = static_cast<int>(number_of(read.path, 10));
    for (std::size_t at = first_end + 2; at < head.size();) {
        const std::size_t line_end = head.find("\r\n", at);
        const std::string line = head.substr(at, line_end - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            read.fields.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? std::string{} : line.substr(value));
        }
        at = line_end + 2;
    }
    return true;
}

bool connection::read_body(message& read, bool until_close, steady::time_point until) {
    if (same_name(read.field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = m_buffer.find("\r\n");
            while (end == std::string::npos) {
                if (!read_more(until)) {
                    return false;
                }
                end = m_buffer.find("\r\n");
            }
            const std::size_t size = number_of(m_buffer.substr(0, end), 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!read_more(until)) {
                    return false;
                }
            }
            read.body.append(m_buffer, end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    if (!read.has_field("Content-Length") && until_close) {
        while (read_more(until)) {
        }
        read.body = std::exchange(m_buffer, {});
        return closed_by_peer();
    }
    const std::size_t size = number_of(read.field("Content-Length"), 10);
    while (m_buffer.size() < size) {
        if (!read_more(until)) {
            return false;
        }
    }
    read.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

std::optional<message> connection::read_request(steady::time_point until) {
    message read;
    if (!read_head(read, until) || !read_body(read, false, until)) {
        return std::nullopt;
    }
    return read;
}

message connection::read_response(steady::time_point until) {
    message read;
    if (!read_head(read, until) || !read_body(read, true, until)) {
        return {};
    }
    return read;
}

bool connection::closed_by_peer() const {
    char next = 0;
    const ssize_t peeked = ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void connection::reset() {
    const linger at_once{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(m_socket, -1));
}

void connection::shut_down() const {
    ::shutdown(m_socket, SHUT_RDWR);
}

message call(const std::string& address, const message& request, milliseconds limit) {
    const auto until = steady::now() + limit;
    const auto opened = connection::open(address, std::min<milliseconds>(limit, 1s));
    if (!opened) {
        return {};
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!request.has_field("Host")) {
        text += "Host: " + address + "\r\n";
    }
    for (const auto& [name, value] : request.fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "Connection: close\r\n\r\n" + request.body;
    if (!opened->write(text)) {
        return {};
    }
    return opened->read_response(until);
}

} // namespace stand
