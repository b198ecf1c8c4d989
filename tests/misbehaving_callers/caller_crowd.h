#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace tamarack::misbehaving_callers {

/** Connections that send the same bytes at the same time, read nothing, and stay open until destruction. */
class caller_crowd {
public:
    /**
     * Opens connections. Those that the server refuses count as closed.
     *
     * @param address  "ip:port"
     * @param size     number of connections
     */
    caller_crowd(const std::string& address, std::size_t size);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;
    caller_crowd(caller_crowd&&) = delete;
    caller_crowd& operator=(caller_crowd&&) = delete;

    /**
     * Sends bytes on all connections in turn, one piece each, until each has sent all, is closed, or accepts
     * no more bytes because the server doesn't read.
     *
     * @param bytes  to send on each connection
     * @param piece  maximum size of one piece
     */
    void send(const std::string& bytes, std::size_t piece);

private:
    std::vector<int> m_sockets;
};

/** @return the number of bytes that sockets bound to a local address have received and not read */
std::size_t unread_bytes(const std::string& address);

} // namespace tamarack::misbehaving_callers
