#include "caller_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <fstream>

namespace tamarack::misbehaving_callers {

namespace {

/** A crowd whose connections accept no bytes for this long is not being read. */
constexpr int unread_after_ms = 500;

sockaddr_in parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

} // namespace

caller_crowd::caller_crowd(const std::string& address, std::size_t size) {
    const sockaddr_in server = parse_address(address);
    for (std::size_t opened = 0; opened < size; ++opened) {
        const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int without_delay = 1;
        setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &without_delay, sizeof without_delay);
        if (connect(caller, reinterpret_cast<const sockaddr*>(&server), sizeof server) != 0) {
            close(caller);
            continue;
        }
        m_sockets.push_back(caller);
    }
}

caller_crowd::~caller_crowd() {
    for (const int caller : m_sockets) {
        close(caller);
    }
}

void caller_crowd::send(const std::string& bytes, std::size_t piece) {
    std::vector<std::size_t> sent(m_sockets.size(), 0);
    std::vector<pollfd> waiting;
    std::vector<std::size_t> numbers;
    while (true) {
        waiting.clear();
        numbers.clear();
        for (std::size_t number = 0; number < m_sockets.size(); ++number) {
            if (sent[number] < bytes.size()) {
                waiting.push_back({m_sockets[number], POLLOUT, 0});
                numbers.push_back(number);
            }
        }
        if (waiting.empty() || poll(waiting.data(), waiting.size(), unread_after_ms) <= 0) {
            return;
        }
        for (std::size_t at = 0; at < waiting.size(); ++at) {
            if (waiting[at].revents == 0) {
                continue;
            }
            std::size_t& done = sent[numbers[at]];
            const ssize_t count = ::send(waiting[at].fd, bytes.data() + done,
                                         std::min(piece, bytes.size() - done), MSG_NOSIGNAL | MSG_DONTWAIT);
            const bool full = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            if (count < 0 && !full) {
                done = bytes.size();
            } else if (count > 0) {
                done += static_cast<std::size_t>(count);
            }
        }
    }
}

std::size_t unread_bytes(const std::string& address) {
    const sockaddr_in server = parse_address(address);
    std::array<char, 32> local{};
    std::snprintf(local.data(), local.size(), "%08X:%04X", server.sin_addr.s_addr, ntohs(server.sin_port));
    const std::string wanted{local.data()};
    constexpr unsigned listening = 0x0a;
    std::ifstream table{"/proc/net/tcp"};
    std::size_t sum = 0;
    for (std::string line; std::getline(table, line);) {
        std::array<char, 32> own{};
        unsigned state = 0;
        unsigned long received = 0;
        const int read = std::sscanf(line.c_str(), " %*s %31s %*s %x %*x:%lx", own.data(), &state, &received);
        if (read == 3 && wanted == own.data() && state != listening) {
            sum += received;
        }
    }
    return sum;
}

} // namespace tamarack::misbehaving_callers
