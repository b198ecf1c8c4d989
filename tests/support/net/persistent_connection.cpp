#include "persistent_connection.h"

#include "plain_messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace tamarack::testing_support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct persistent_connection::implementation {
    explicit implementation(std::string where) : address(std::move(where)) {}

    tcp::endpoint server() const {
        const std::size_t colon = address.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
        return {asio::ip::make_address(address.substr(0, colon)), port};
    }

    /** Runs all pending operations. @return whether the last one succeeded */
    bool finish() {
        context.restart();
        context.run();
        return !failure;
    }

    bool open(std::chrono::milliseconds limit) {
        if (stream) {
            return true;
        }
        buffer.clear();
        stream.emplace(context);
        stream->expires_after(limit);
        stream->async_connect(server(), [this](const beast::error_code& result) { failure = result; });
        return finish();
    }

    std::optional<plain_response> exchange(const plain_request& request, std::chrono::milliseconds limit) {
        beast_request message = to_beast(address, request, true);
        beast_response response;
        stream->expires_after(limit);
        http::async_write(*stream, message, [&](const beast::error_code& written, std::size_t) {
            failure = written;
            if (!written) {
                http::async_read(*stream, buffer, response,
                                 [this](const beast::error_code& read, std::size_t) { failure = read; });
            }
        });
        if (!finish()) {
            return std::nullopt;
        }
        if (!response.keep_alive()) {
            stream.reset();
        }
        return from_beast(std::move(response));
    }

    std::string address;
    asio::io_context context;
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    beast::error_code failure;
};

persistent_connection::persistent_connection(std::string address)
    : m_implementation(std::make_unique<implementation>(std::move(address))) {}

persistent_connection::~persistent_connection() = default;

std::optional<plain_response> persistent_connection::call(const plain_request& request,
                                                          std::chrono::milliseconds limit) {
    std::optional<plain_response> response;
    if (m_implementation->open(limit)) {
        response = m_implementation->exchange(request, limit);
    }
    if (!response) {
        m_implementation->stream.reset();
    }
    return response;
}

} // namespace tamarack::testing_support
