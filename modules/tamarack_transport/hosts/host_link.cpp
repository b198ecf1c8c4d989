#include "host_link.h"

#include "../http/http_client.h"
#include "notification_codec.h"

#include <deque>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t messages_in_batch = 128;
constexpr std::size_t response_limit = 64 * kibibyte;

struct waiting_message {
    std::string method;
    Json::Value parameters;
};

} // namespace

struct host_link::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, endpoint peer, host_link_options chosen)
        : thread(owner), address(std::move(peer)), options(chosen) {}

    void enqueue(const std::string& method, Json::Value parameters) {
        if (queue.size() >= options.queued_messages) {
            queue.pop_front();
            ++counts.dropped;
        }
        queue.push_back({method, std::move(parameters)});
        advance();
    }

    /** Does the next step that is possible: connects, or sends what waits. */
    void advance() {
        if (queue.empty() || sending || pausing) {
            return;
        }
        if (!connection) {
            connect();
            return;
        }
        if (open) {
            send_batch();
        }
    }

    void connect() {
        http_connection_events events;
        events.opened = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->open = true;
                self->advance();
            }
        };
        events.lost = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->on_failure();
            }
        };
        connection = std::make_unique<http_connection>(thread, address, options.connect_timeout,
                                                       response_limit, std::move(events));
    }

    void send_batch() {
        notification_batch batch;
        std::size_t taken = 0;
        while (!queue.empty() && taken < messages_in_batch) {
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
        sending = true;
        const std::uint64_t number = ++sent_batches;
        connection->send(request, [weak = weak_from_this()](const http_response& /*response*/) {
            if (const auto self = weak.lock()) {
                self->sending = false;
                self->advance();
            }
        });
        watch_answer(number);
    }

    /** A connection that leaves a batch unanswered may have been forgotten in between: it is replaced. */
    void watch_answer(std::uint64_t number) {
        thread.run_at(steady_now() + options.answer_limit, [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->sending && self->sent_batches == number) {
                self->on_failure();
            }
        });
    }

    void on_failure() {
        ++counts.failures;
        connection.reset();
        open = false;
        sending = false;
        pausing = true;
        thread.run_at(steady_now() + options.pause_after_failure, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->pausing = false;
                self->advance();
            }
        });
    }

    worker_thread& thread;
    endpoint address;
    host_link_options options;
    std::deque<waiting_message> queue;
    std::unique_ptr<http_connection> connection;
    host_link_counts counts;
    std::uint64_t sent_batches = 0;
    bool open = false;
    bool sending = false;
    bool pausing = false;
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
