#include "net.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t read_size = 65'536;

sockaddr_in system_address(const address& at) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
    return result;
}

bool wait_for(int descriptor, short events, steady_clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
    pollfd waited{descriptor, events, 0};
    return ::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0))) > 0;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return std::string{text};
}

std::size_t number_of(std::string_view text) {
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_message parse_head(std::string_view head) {
    http_message message;
    message.first_line = trimmed(head.substr(0, head.find("\r\n")));
    std::size_t at = head.find("\r\n");
    while (at != std::string_view::npos) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string_view line =
            head.substr(begin, at == std::string_view::npos ? std::string_view::npos : at - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            message.fields.emplace(lower(std::string{line.substr(0, colon)}),
                                   trimmed(line.substr(colon + 1)));
        }
    }
    return message;
}

} // namespace

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept {
    if (this != &other) {
        close();
        m_descriptor = other.release();
    }
    return *this;
}

int tcp_socket::release() {
    return std::exchange(m_descriptor, -1);
}

void tcp_socket::close() {
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

bool tcp_socket::send_all(std::string_view bytes, milliseconds limit) const {
    const auto until = steady_clock::now() + limit;
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
        if (!wait_for(m_descriptor, POLLOUT, until)) {
            return false;
        }
    }
    return true;
}

receipt tcp_socket::receive_some(std::string& into, milliseconds limit) const {
    if (!wait_for(m_descriptor, POLLIN, steady_clock::now() + limit)) {
        return receipt::timed_out;
    }
    std::array<char, read_size> bytes{};
    const ssize_t size = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return receipt::ended;
    }
    into.append(bytes.data(), static_cast<std::size_t>(size));
    return receipt::bytes;
}

tcp_socket listen_at(address& at, int backlog) {
    tcp_socket listener{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const int on = 1;
    ::setsockopt(listener.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in wanted = system_address(at);
    if (::bind(listener.descriptor(), reinterpret_cast<const sockaddr*>(&wanted), sizeof wanted) != 0 ||
        ::listen(listener.descriptor(), backlog) != 0) {
        return tcp_socket{};
    }
    socklen_t size = sizeof wanted;
    ::getsockname(listener.descriptor(), reinterpret_cast<sockaddr*>(&wanted), &size);
    at.port = ntohs(wanted.sin_port);
    return listener;
}

tcp_socket accept_from(const tcp_socket& listener, milliseconds limit) {
    if (!wait_for(listener.descriptor(), POLLIN, steady_clock::now() + limit)) {
        return tcp_socket{};
    }
    tcp_socket accepted{::accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC)};
    const int on = 1;
    ::setsockopt(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return accepted;
}

tcp_socket connect_to(const address& at, milliseconds limit) {
    tcp_socket connection{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    const sockaddr_in wanted = system_address(at);
    const int begun =
        ::connect(connection.descriptor(), reinterpret_cast<const sockaddr*>(&wanted), sizeof wanted);
    if (begun != 0 && errno != EINPROGRESS) {
        return tcp_socket{};
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    if (!wait_for(connection.descriptor(), POLLOUT, steady_clock::now() + limit) ||
        ::getsockopt(connection.descriptor(), SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        return tcp_socket{};
    }
    ::fcntl(connection.descriptor(), F_SETFL, 0);
    const int on = 1;
    ::setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool is_free(const address& at) {
    address wanted = at;
    return listen_at(wanted, 1).is_open();
}

std::string http_message::field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

int http_message::status() const {
    const std::size_t space = first_line.find(' ');
    return space == std::string::npos
               ? 0
               : static_cast<int>(number_of(std::string_view{first_line}.substr(space + 1)));
}

std::string http_message::target() const {
    const std::size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

std::optional<http_message> read_message(const tcp_socket& from, std::string& buffer, milliseconds limit,
                                         body_rule rule) {
    const auto until = steady_clock::now() + limit;
    const auto left = [until] {
        return std::max(std::chrono::duration_cast<milliseconds>(until - steady_clock::now()),
                        milliseconds{0});
    };
    std::size_t head_end = buffer.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (from.receive_some(buffer, left()) != receipt::bytes) {
            return std::nullopt;
        }
        head_end = buffer.find("\r\n\r\n");
    }
    http_message message = parse_head(std::string_view{buffer}.substr(0, head_end));
    const std::size_t size = rule == body_rule::none ? 0 : number_of(message.field("content-length"));
    const std::size_t body_at = head_end + 4;
    while (buffer.size() < body_at + size) {
        if (from.receive_some(buffer, left()) != receipt::bytes) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(body_at, size);
    buffer.erase(0, body_at + size);
    return message;
}

std::optional<http_message> call(const address& at, const std::string& request, milliseconds limit) {
    const tcp_socket connection = connect_to(at, limit);
    if (!connection.is_open() || !connection.send_all(request, limit)) {
        return std::nullopt;
    }
    std::string buffer;
    return read_message(connection, buffer, limit);
}

} // namespace review
