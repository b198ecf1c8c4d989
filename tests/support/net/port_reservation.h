#pragma once

#include <cstdint>

namespace tamarack::testing_support {

/**
 * Reserves a free port on 127.0.0.1: the system assigns it to nobody else while this object exists.
 *
 * A daemon can listen on the port, also again after a restart, because the reserving socket is bound but
 * doesn't listen.
 */
class port_reservation {
public:
    port_reservation();
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;
    port_reservation(port_reservation&& other) noexcept;
    port_reservation& operator=(port_reservation&&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

} // namespace tamarack::testing_support
