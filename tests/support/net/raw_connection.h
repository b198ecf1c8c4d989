#pragma once

#include <chrono>
#include <string>

namespace tamarack::testing_support {

/** A TCP connection over which a test sends arbitrary bytes. */
class raw_connection {
public:
    /** Connects to a server. @param address "ip:port" */
    explicit raw_connection(const std::string& address);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    /** @return whether all bytes were sent */
    bool send(const std::string& bytes) const;

    /** Shuts down the sending direction only. */
    void close_sending() const;

    /** Reads until the peer closes or resets the connection or the limit passes. @return the bytes read */
    std::string read_to_end(std::chrono::milliseconds limit);

    /** @return whether the peer has closed; set by read_to_end */
    bool closed_by_peer() const { return m_closed_by_peer; }

private:
    int m_socket = -1;
    bool m_closed_by_peer = false;
};

} // namespace tamarack::testing_support
