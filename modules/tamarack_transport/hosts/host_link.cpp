#include "host_link.h"

#include "../http/http_client.h"
#include "notification_codec.h"

#include <deque>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t max_messages_per_batch = 128;
constexpr std::size_t max_response_bytes = 64 * kibibyte;

struct queued_message {
    std::string method;
    Json::Value parameters;
};

} // namespace

struct host_link::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, endpoint peer, host_link_options chosen)
        : thread(owner), address(std::move(peer)), options(chosen) {}

    void enqueue(const std::string& method, Json::Value parameters) {
        if (queue.size() >= options.max_queued_messages) {
            queue.pop_front();
            ++counts.dropped;
        }
        queue.push_back({method, std::move(parameters)});
        advance();
    }

    /** Takes the next possible step: connects, or sends queued messages. */
    void advance() {
        if (queue.empty() || batch_in_flight || reconnect_pending) {
            return;
        }
        if (!connection) {
            connect();
            return;
        }
        if (connected) {
            send_batch();
        }
    }

    void connect() {
        http_connection_events events;
        events.opened = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->connected = true;
                self->advance();
            }
        };
        events.lost = [weak = weak_from_this()](connection_end) {
            if (const auto self = weak.lock()) {
                self->on_failure();
            }
        };
        connection = std::make_unique<http_connection>(thread, address, options.connect_timeout,
                                                       max_response_bytes, std::move(events));
    }

    void send_batch() {
        notification_batch batch;
        std::size_t taken = 0;
        while (!queue.empty() && taken < max_messages_per_batch) {
            batch.add(queue.front().method, queue.front().parameters);
            queue.pop_front();
            ++taken;
        }
        http_request request;
        request.method = http_method::post;
        request.target = "/rpc";
        request.fields.emplace_back("Content-Type", "application/json");
        request.body = batch.text();
        counts.messages += taken;
        counts.bytes += request.body.size();
        batch_in_flight = true;
        const std::uint64_t number = ++batches_sent;
        connection->send(request, [weak = weak_from_this()](const http_response& response) {
            if (const auto self = weak.lock()) {
                self->batch_in_flight = false;
                if (response.ends_connection) {
                    self->connection.reset();
                    self->connected = false;
                }
                self->advance();
            }
        });
        start_response_timer(number);
    }

    /** Replaces the connection if the batch gets no response in time: a network device on the path may have
     * dropped the connection's state. */
    void start_response_timer(std::uint64_t number) {
        thread.run_at(steady_now() + options.response_timeout, [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->batch_in_flight && self->batches_sent == number) {
                self->on_failure();
            }
        });
    }

    void on_failure() {
        ++counts.failures;
        connection.reset();
        connected = false;
        batch_in_flight = false;
        reconnect_pending = true;
        thread.run_at(steady_now() + options.reconnect_delay, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->reconnect_pending = false;
                self->advance();
            }
        });
    }

    worker_thread& thread;
    endpoint address;
    host_link_options options;
    std::deque<queued_message> queue;
    std::unique_ptr<http_connection> connection;
    host_link_counts counts;
    std::uint64_t batches_sent = 0;
    bool connected = false;
    bool batch_in_flight = false;
    bool reconnect_pending = false;
};

host_link::host_link(worker_thread& thread, endpoint address, host_link_options options)
    : m_implementation(std::make_shared<implementation>(thread, std::move(address), options)) {}

host_link::~host_link() = default;

void host_link::send(const std::string& method, Json::Value parameters) {
    m_implementation->enqueue(method, std::move(parameters));
}

const endpoint& host_link::address() const {
    return m_implementation->address;
}

host_link_counts host_link::counts() const {
    return m_implementation->counts;
}

} // namespace tamarack
