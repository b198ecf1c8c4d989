#include <utility>

#include "socket_address.h"

#include <charconv>
#include <sstream>

namespace tamarack {

outcome<boost::asio::ip::tcp::endpoint> parse_socket_address(const endpoint& address) {
    const std::string& text = address.value();
    const error malformed{error_code::malformed, "not an IP address with a port: '" + text + "'"};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return malformed;
    }
    std::string ip = text.substr(0, colon);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return malformed;
    }
    boost::system::error_code failure;
    const auto ip_address = boost::asio::ip::make_address(ip, failure);
    if (failure) {
        return malformed;
    }
    return boost::asio::ip::tcp::endpoint{ip_address, port};
}

endpoint to_endpoint(const boost::asio::ip::tcp::endpoint& address) {
    std::ostringstream text;
    text << address;
    return endpoint{text.str()};
}

} // namespace tamarack
