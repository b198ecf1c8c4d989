#include "target_program.h"

#include <json/reader.h>
#include <json/writer.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

namespace tamarack::stand_in {

using testing_support::plain_request;
using testing_support::plain_responder;
using testing_support::plain_response;

namespace {

constexpr int crash_exit_code = 134;
constexpr std::chrono::milliseconds drain_grace{300};
constexpr std::chrono::milliseconds drain_poll{20};
constexpr std::string_view run_path = "/v1/run";
constexpr std::string_view cancel_path = "/v1/cancel/";
constexpr std::string_view live_path = "/v1/live";
constexpr unsigned no_content = 204;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;

std::int64_t parse_number(const std::string& text) {
    return std::strtoll(text.c_str(), nullptr, 10);
}

run_request parse_run_request(const plain_request& request) {
    run_request order;
    order.exchange = request.field("exchange-id");
    order.request = request.field("request-id");
    order.service = request.field("service");
    order.shard = request.field("shard");
    order.version = request.field("index-version");
    order.key = request.field("idempotency-key");
    order.remaining = std::chrono::milliseconds{parse_number(request.field("deadline-ms"))};
    order.body = request.body;
    return order;
}

/** @return a random incarnation below 2^53, which every JSON library represents exactly */
std::uint64_t random_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 21U) | 1U;
}

} // namespace

target_program::target_program(const target_options& options)
    : m_model(options, {[this](std::chrono::microseconds delay, std::function<void()> work) {
                            m_loop.run_after(delay, std::move(work));
                        },
                        [] { std::_Exit(crash_exit_code); },
                        [this] {
                            if (m_announcer) {
                                m_announcer->announce();
                            }
                        }}),
      m_listener(m_loop, {options.connection_cost, options.connections},
                 [this](const plain_request& request, const plain_responder& respond) {
                     handle(request, respond);
                 }) {}

int target_program::run() {
    const std::string address = m_listener.listen(m_model.options().ip, m_model.options().port);
    std::cout << "listening " << address << std::endl;
    m_announcer = std::make_unique<announcer>(m_loop, m_model, address, random_incarnation());
    m_announcer->announce();
    m_loop.on_signal(SIGTERM, [this] { drain(); });
    m_loop.on_signal(SIGINT, [this] { drain(); });
    m_loop.run();
    return 0;
}

void target_program::handle(const plain_request& request, const plain_responder& respond) {
    if (request.path == run_path) {
        handle_run(request, respond);
    } else if (request.path.starts_with(cancel_path)) {
        m_model.on_cancel(request.path.substr(cancel_path.size()));
        respond({no_content, {}, {}});
    } else if (request.path == live_path) {
        respond({no_content, {}, {}});
    } else if (request.path == "/test/runs") {
        respond(handle_record());
    } else if (request.path == "/test/set") {
        respond(handle_set(request.body));
    } else {
        respond({not_found, {}, {}});
    }
}

void target_program::handle_run(const plain_request& request, const plain_responder& respond) {
    run_request order = parse_run_request(request);
    plain_response response;
    response.fields["Exchange-Id"] = order.exchange;
    response.fields["Shard"] = m_model.options().shard;
    response.fields["Index-Version"] = order.version;
    m_model.on_run(std::move(order), [this, respond, response](run_result result) mutable {
        const auto [running, queued] = m_model.reported_load();
        response.fields["Exchange-Status"] = std::string{to_name(result.status)};
        response.fields["Load"] = std::to_string(running + queued);
        if (result.status == run_status::shed) {
            response.fields["Retry-After-Ms"] =
                std::to_string(m_model.options().service_time.count() / 1'000 + 1);
        }
        response.body = std::move(result.body);
        respond(std::move(response));
    });
}

plain_response target_program::handle_set(const std::string& body) {
    Json::Value changes;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    if (!reader->parse(body.data(), body.data() + body.size(), &changes, nullptr)) {
        return {bad_request, {}, "not JSON\n"};
    }
    const std::string problem = m_model.change(changes);
    if (!problem.empty()) {
        return {bad_request, {}, problem + "\n"};
    }
    if (changes["silent"].asBool()) {
        // Delayed so that the response to this request is still sent.
        m_loop.run_after(drain_poll, [this] { m_listener.silence_open_connections(); });
    }
    return {};
}

plain_response target_program::handle_record() const {
    Json::Value record = m_model.record();
    const testing_support::listener_counts counts = m_listener.counts();
    record["connections"]["open"] = static_cast<Json::UInt>(counts.open);
    record["connections"]["most_open"] = static_cast<Json::UInt>(counts.max_open);
    record["connections"]["accepted"] = static_cast<Json::UInt>(counts.accepted);
    record["connections"]["refused"] = static_cast<Json::UInt>(counts.refused);
    record["announcements"] = static_cast<Json::UInt64>(m_announcer->accepted());
    plain_response response;
    response.fields["Content-Type"] = "application/json";
    response.body = Json::writeString(Json::StreamWriterBuilder{}, record);
    return response;
}

void target_program::drain() {
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_model.drain();
    m_loop.run_after(drain_grace, [this] { stop_when_idle(); });
}

void target_program::stop_when_idle() {
    if (m_model.idle()) {
        m_loop.stop();
        return;
    }
    m_loop.run_after(drain_poll, [this] { stop_when_idle(); });
}

} // namespace tamarack::stand_in
