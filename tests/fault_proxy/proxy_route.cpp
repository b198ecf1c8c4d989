#include "proxy_route.h"

#include "support/net/event_loop_internals.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <map>
#include <string>

namespace tamarack::fault_proxy {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t chunk_bytes = 65'536;

enum class direction {
    to_server,
    to_client,
};

tcp::endpoint parse_endpoint(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

/** Relays data between a client and the server; stays alive while an operation is pending. */
class relay : public std::enable_shared_from_this<relay> {
public:
    relay(testing_support::event_loop& loop, std::shared_ptr<const proxy_faults> faults, std::uint64_t number,
          tcp::socket client)
        : m_loop(&loop), m_faults(std::move(faults)), m_number(number), m_client(std::move(client)),
          m_server(loop.internals().context) {}

    void start(const tcp::endpoint& server) {
        if (m_faults->swallow_new) {
            m_unconnected = true;
            read(direction::to_server);
            return;
        }
        m_server.async_connect(server, [self = shared_from_this()](const error_code& failure) {
            if (failure) {
                self->close();
                return;
            }
            self->read(direction::to_server);
            self->read(direction::to_client);
        });
    }

    void close() {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

private:
    using chunk = std::array<char, chunk_bytes>;

    tcp::socket& source(direction way) { return way == direction::to_server ? m_client : m_server; }
    tcp::socket& sink(direction way) { return way == direction::to_server ? m_server : m_client; }

    bool discards(direction way) const {
        const bool cut = way == direction::to_server ? m_faults->cut_requests : m_faults->cut_replies;
        return cut || m_unconnected || m_number <= m_faults->silent_up_to;
    }

    void read(direction way) {
        const auto buffer = std::make_shared<chunk>();
        source(way).async_read_some(asio::buffer(*buffer), [self = shared_from_this(), way, buffer](
                                                               const error_code& failure, std::size_t size) {
            failure ? self->on_end(way) : self->on_chunk(way, buffer, size);
        });
    }

    /** While data is discarded, an end of stream is too: the other side's connection stays open and silent.
     */
    void on_end(direction way) {
        if (discards(way)) {
            return;
        }
        error_code ignored;
        sink(way).shutdown(tcp::socket::shutdown_send, ignored);
        if (++m_ended == 2) {
            close();
        }
    }

    void on_chunk(direction way, const std::shared_ptr<chunk>& buffer, std::size_t size) {
        if (m_faults->delay > std::chrono::milliseconds{}) {
            m_loop->run_after(m_faults->delay, [self = shared_from_this(), way, buffer, size] {
                self->forward(way, buffer, size);
            });
            return;
        }
        forward(way, buffer, size);
    }

    void forward(direction way, const std::shared_ptr<chunk>& buffer, std::size_t size) {
        if (discards(way)) {
            read(way);
            return;
        }
        asio::async_write(sink(way), asio::buffer(*buffer, size),
                          [self = shared_from_this(), way, buffer](const error_code& failure, std::size_t) {
                              failure ? self->close() : self->read(way);
                          });
    }

    testing_support::event_loop* m_loop;
    std::shared_ptr<const proxy_faults> m_faults;
    std::uint64_t m_number;
    tcp::socket m_client;
    tcp::socket m_server;
    bool m_unconnected = false;
    int m_ended = 0;
};

} // namespace

struct proxy_route::implementation : std::enable_shared_from_this<implementation> {
    implementation(testing_support::event_loop& chosen, const std::string& listen, const std::string& to)
        : loop(&chosen), acceptor(chosen.internals().context, parse_endpoint(listen)),
          server(parse_endpoint(to)), local(acceptor.local_endpoint()) {}

    void accept_next() {
        acceptor.async_accept([self = shared_from_this()](const error_code& failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!failure && !self->faults->refuse) {
                self->serve(std::move(socket));
            }
            self->accept_next();
        });
    }

    void serve(tcp::socket socket) {
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        const std::uint64_t number = ++last_number;
        const auto started = std::make_shared<relay>(*loop, faults, number, std::move(socket));
        std::erase_if(relays, [](const auto& entry) { return entry.second.expired(); });
        relays[number] = started;
        started->start(server);
    }

    testing_support::event_loop* loop;
    tcp::acceptor acceptor;
    tcp::endpoint server;
    tcp::endpoint local; ///< bound address, used again by listen_again()
    std::shared_ptr<proxy_faults> faults = std::make_shared<proxy_faults>();
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, std::weak_ptr<relay>> relays;
};

proxy_route::proxy_route(testing_support::event_loop& loop, const std::string& listen,
                         const std::string& server)
    : m_implementation(std::make_shared<implementation>(loop, listen, server)) {
    m_implementation->accept_next();
}

proxy_route::~proxy_route() {
    error_code ignored;
    m_implementation->acceptor.close(ignored);
}

std::string proxy_route::address() const {
    const tcp::endpoint& local = m_implementation->local;
    return local.address().to_string() + ":" + std::to_string(local.port());
}

proxy_faults& proxy_route::faults() {
    return *m_implementation->faults;
}

void proxy_route::silence_open_connections() {
    m_implementation->faults->silent_up_to = m_implementation->last_number;
}

void proxy_route::close_open_connections() {
    for (const auto& [number, entry] : m_implementation->relays) {
        if (const auto open = entry.lock()) {
            open->close();
        }
    }
}

void proxy_route::stop_listening() {
    error_code ignored;
    m_implementation->acceptor.close(ignored);
    close_open_connections();
}

void proxy_route::listen_again() {
    tcp::acceptor& acceptor = m_implementation->acceptor;
    if (acceptor.is_open()) {
        return;
    }
    acceptor.open(m_implementation->local.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.bind(m_implementation->local);
    acceptor.listen();
    m_implementation->accept_next();
}

std::size_t proxy_route::open_connections() const {
    std::size_t open = 0;
    for (const auto& [number, entry] : m_implementation->relays) {
        open += entry.expired() ? 0U : 1U;
    }
    return open;
}

} // namespace tamarack::fault_proxy
