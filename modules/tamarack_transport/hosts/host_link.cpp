#include "host_link.h"

#include "../http/http_client.h"
#include "notification_codec.h"

#include <deque>
#include <optional>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t max_messages_per_batch = 128;
constexpr std::size_t max_response_bytes = 64 * kibibyte;

struct queued_message {
    std::string method;
    Json::Value parameters;
};

struct shared_message {
    queued_message message;
    shared_member member;
    time_point queued_at;
};

} // namespace

struct host_link::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, endpoint peer, send_window& shared_window, host_link_options chosen)
        : thread(owner), address(std::move(peer)), window(shared_window), options(chosen) {}

    ~implementation() { release_window(); }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    void enqueue(const std::string& method, Json::Value parameters) {
        if (queue.size() >= options.max_queued_messages) {
            queue.pop_front();
            ++counts.dropped;
        }
        queue.push_back({method, std::move(parameters)});
        advance();
    }

    void replace_shared(shared_message message) {
        counts.dropped += shared ? 1 : 0;
        shared = std::move(message);
        advance();
    }

    /** Takes the next possible step: connects, or sends queued messages. */
    void advance() {
        if (shared && steady_now() - shared->queued_at > options.shared_member_lifetime) {
            shared.reset();
            ++counts.dropped;
        }
        if ((queue.empty() && !shared) || batch_in_flight || reconnect_pending) {
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
        events.written = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->release_window();
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
        if (const auto message = take_shared()) {
            batch.add(message->message.method, message->message.parameters);
            ++taken;
        }
        if (taken == 0) {
            return;
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
                self->release_window();
                if (response.ends_connection) {
                    self->connection.reset();
                    self->connected = false;
                }
                self->advance();
            }
        });
        start_response_timer(number);
    }

    /** @return the waiting message with its shared member, if there is space for it */
    std::optional<shared_message> take_shared() {
        if (!shared || waits_for_window) {
            return std::nullopt;
        }
        const std::size_t bytes = shared->member.text->size();
        const bool taken = window.try_take(bytes, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->waits_for_window = false;
                self->advance();
            }
        });
        if (!taken) {
            waits_for_window = true;
            return std::nullopt;
        }
        taken_bytes = bytes;
        auto message = std::exchange(shared, std::nullopt);
        message->message.parameters[message->member.name] = *message->member.text;
        return message;
    }

    void release_window() {
        if (taken_bytes > 0) {
            window.release(std::exchange(taken_bytes, 0));
        }
    }

    /** Replaces the connection if the batch gets no response in time: a network device on the path may have
     * dropped the connection's state. */
    void start_response_timer(std::uint64_t number) {
        const auto transfer_ms = taken_bytes * 1'000 / options.min_transfer_rate;
        const duration limit = options.response_timeout + static_cast<duration::rep>(transfer_ms) * 1ms;
        thread.run_at(steady_now() + limit, [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->batch_in_flight && self->batches_sent == number) {
                self->on_failure();
            }
        });
    }

    void on_failure() {
        ++counts.failures;
        connection.reset();
        release_window();
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
    send_window& window;
    host_link_options options;
    std::deque<queued_message> queue;
    std::optional<shared_message> shared; ///< the latest message with a shared member, until it is sent
    std::size_t taken_bytes = 0;          ///< of the window, until the batch is written
    bool waits_for_window = false;
    std::unique_ptr<http_connection> connection;
    host_link_counts counts;
    std::uint64_t batches_sent = 0;
    bool connected = false;
    bool batch_in_flight = false;
    bool reconnect_pending = false;
};

host_link::host_link(worker_thread& thread, endpoint address, send_window& window, host_link_options options)
    : m_implementation(std::make_shared<implementation>(thread, std::move(address), window, options)) {}

host_link::~host_link() = default;

void host_link::send(const std::string& method, Json::Value parameters) {
    m_implementation->enqueue(method, std::move(parameters));
}

void host_link::send(const std::string& method, Json::Value parameters, shared_member member) {
    if (member.text == nullptr) {
        send(method, std::move(parameters));
        return;
    }
    m_implementation->replace_shared({{method, std::move(parameters)}, std::move(member), steady_now()});
}

const endpoint& host_link::address() const {
    return m_implementation->address;
}

host_link_counts host_link::counts() const {
    return m_implementation->counts;
}

} // namespace tamarack
