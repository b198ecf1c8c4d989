#include "replica.h"

#include <utility>

namespace review {

namespace {

constexpr milliseconds heartbeat_interval{1'000};
constexpr milliseconds poll_interval{50};

std::string post(const std::string& target, const std::string& body) {
    return "POST " + target +
           " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint64_t unix_milliseconds() {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

replica::replica(std::string id, std::string service, std::string zone, unsigned slots,
                 std::vector<address> controls, replica_behaviour behaviour)
    : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)), m_slots(slots),
      m_controls(std::move(controls)), m_behaviour(std::move(behaviour)), m_listener(listen_at(m_at, 512)),
      m_born(unix_milliseconds()) {
    m_announcer = std::thread{[this] { announce(); }};
    m_acceptor = std::thread{[this] { accept_connections(); }};
}

replica::~replica() {
    m_ending = true;
    m_announcer.join();
    m_acceptor.join();
    for (std::thread& connection : m_connections) {
        connection.join();
    }
}

std::string replica::heartbeat() {
    return R"({"service":")" + m_service + R"(","address":")" + m_at.text() + R"(","zone":")" + m_zone +
           R"(","version":"v1","max-concurrency":)" + std::to_string(m_slots) +
           R"(,"state":"ready","warmup-left-ms":0,"sequence":)" + std::to_string(++m_sequence) +
           R"(,"born":)" + std::to_string(m_born) + "}";
}

void replica::announce() {
    std::size_t next = std::hash<std::string>{}(m_id) % m_controls.size();
    while (!m_ending) {
        const auto answer =
            call(m_controls[next], post("/tamarackstand/Replicas.Heartbeat/" + m_id, heartbeat()),
                 milliseconds{1'000});
        const bool accepted = answer && answer->status() / 100 == 2;
        const auto until = steady_clock::now() + (accepted ? heartbeat_interval : poll_interval);
        next = accepted ? next : (next + 1) % m_controls.size();
        while (!m_ending && steady_clock::now() < until) {
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

void replica::accept_connections() {
    while (!m_ending) {
        tcp_socket accepted = accept_from(m_listener, poll_interval);
        if (!accepted.is_open()) {
            continue;
        }
        auto shared = std::make_shared<tcp_socket>(std::move(accepted));
        const std::scoped_lock lock{m_mutex};
        m_connections.emplace_back([this, shared] {
            serve(*shared);
            shared->close();
        });
    }
}

void replica::serve(const tcp_socket& connection) {
    std::string buffer;
    while (!m_ending) {
        const receipt received =
            buffer.empty() ? connection.receive_some(buffer, poll_interval) : receipt::bytes;
        if (received == receipt::ended) {
            return;
        }
        if (received == receipt::timed_out) {
            continue;
        }
        auto message = read_message(connection, buffer, milliseconds{5'000});
        if (!message) {
            return;
        }
        const received_request request{message->field("x-tamarackstand-request-id"), std::move(*message)};
        const std::string wanted = request.message.field("x-tamarackstand-target-replica");
        if (!wanted.empty() && wanted != m_id) {
            if (!connection.send_all(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Tamarackstand-Request-Id: " + request.id +
                    "\r\nX-Tamarackstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        {
            const std::scoped_lock lock{m_mutex};
            m_runs.push_back(request);
        }
        ++m_running;
        const bool keeps = m_behaviour.answer ? m_behaviour.answer(*this, connection, request)
                                              : answer_soundly(connection, request);
        --m_running;
        if (!keeps) {
            return;
        }
    }
}

std::string replica::head_of(const received_request& request, int status) const {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Tamarackstand-Request-Id: " + request.id +
           "\r\nX-Tamarackstand-Response-Stamp: " + stamp_of(request) +
           "\r\nX-Tamarackstand-Replica-Load: " + std::to_string(m_running.load()) + ",0," +
           std::to_string(m_slots) + "\r\n";
}

bool replica::answer_soundly(const tcp_socket& to, const received_request& request) const {
    std::this_thread::sleep_for(m_behaviour.work);
    const std::string body = body_of(request);
    const bool without_body = request.message.method() == "HEAD";
    return to.send_all(head_of(request, 200) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       (without_body ? std::string{} : body));
}

std::vector<received_request> replica::runs() const {
    const std::scoped_lock lock{m_mutex};
    return m_runs;
}

} // namespace review
