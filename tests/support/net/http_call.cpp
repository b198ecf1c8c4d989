#include "http_call.h"

#include "event_loop_internals.h"
#include "plain_messages.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace tamarack::testing_support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

class pending_call : public std::enable_shared_from_this<pending_call> {
public:
    pending_call(event_loop& loop, std::chrono::milliseconds limit, call_handler handler)
        : m_stream(loop.internals().context), m_handler(std::move(handler)) {
        m_stream.expires_after(limit);
    }

    void start(const std::string& address, const plain_request& request) {
        m_request = to_beast(address, request, false);
        const std::size_t colon = address.rfind(':');
        beast::error_code failure;
        const auto ip = asio::ip::make_address(address.substr(0, colon), failure);
        if (failure || colon == std::string::npos) {
            m_handler(std::nullopt);
            return;
        }
        const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
        m_stream.async_connect(tcp::endpoint{ip, port},
                               [self = shared_from_this()](const beast::error_code& error) {
                                   error ? self->m_handler(std::nullopt) : self->write();
                               });
    }

private:
    void write() {
        http::async_write(m_stream, m_request,
                          [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                              error ? self->m_handler(std::nullopt) : self->read();
                          });
    }

    void read() {
        http::async_read(m_stream, m_buffer, m_response,
                         [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                             error ? self->m_handler(std::nullopt) : self->finish();
                         });
    }

    void finish() { m_handler(from_beast(std::move(m_response))); }

    beast::tcp_stream m_stream;
    call_handler m_handler;
    beast_request m_request;
    beast_response m_response;
    beast::flat_buffer m_buffer;
};

} // namespace

void call(event_loop& loop, const std::string& address, const plain_request& request,
          std::chrono::milliseconds limit, call_handler handler) {
    std::make_shared<pending_call>(loop, limit, std::move(handler))->start(address, request);
}

std::optional<plain_response> call_and_wait(const std::string& address, const plain_request& request,
                                            std::chrono::milliseconds limit) {
    event_loop loop;
    std::optional<plain_response> result;
    call(loop, address, request, limit, [&](std::optional<plain_response> response) {
        result = std::move(response);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace tamarack::testing_support
