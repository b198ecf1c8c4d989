#pragma once

#include <tamarack_base/tamarack_base.h>

#include <boost/asio/ip/tcp.hpp>

namespace tamarack {

/**
 * Parses "address:port", where the address is an IP address (IPv6 in brackets).
 *
 * @return the socket address, or a malformed error
 */
outcome<boost::asio::ip::tcp::endpoint> parse_socket_address(const endpoint& address);

/** @return the address in the format that parse_socket_address accepts */
endpoint to_endpoint(const boost::asio::ip::tcp::endpoint& address);

} // namespace tamarack
