#include "platform_deployment.h"

#include <json/value.h>

#include <algorithm>
#include <future>
#include <utility>

namespace tamarack::platform_integration {

namespace {

/** Time-out after which a replica sends its heartbeat to another host. */
constexpr std::chrono::milliseconds heartbeat_limit{1'000};
/** One third of the shortest interval that the platform specifies, to keep the tests short. */
constexpr std::chrono::milliseconds heartbeat_interval{400};
/** A crashed replica refuses connections for this long. */
constexpr std::chrono::milliseconds crash_downtime{500};
/** Replicas don't know which host a request comes from. */
constexpr std::size_t any_host = 0;
constexpr std::size_t record_bytes = 16;
/** Precedes the other fields of a reply, also the id of its request, in alphabetical order. */
constexpr const char* first_field = "server";

/** The second record of a reply; it differs from reply to reply, and is less than the first one. */
std::string record_of(const std::string& stamp) {
    std::string record = "B" + stamp;
    record.resize(record_bytes, '.');
    return record;
}

bool is_due(unsigned each, unsigned number) {
    return each > 0 && number % each == 0;
}

} // namespace

stand_in_replica& platform_deployment::add_replica(const std::string& service) {
    auto replica = std::make_unique<stand_in_replica>();
    stand_in_replica& added = *replica;
    added.id = "i-" + std::to_string(m_replicas.size() + 1);
    added.service = service;
    added.born = 1'780'000'000'000 + m_replicas.size();
    std::promise<void> listening;
    m_loop.post([this, &added, &listening] {
        added.listener = std::make_unique<testing_support::http_listener>(
            m_loop, testing_support::listener_options{},
            [this, &added](const plain_request& request, const testing_support::plain_responder& respond) {
                answer(added, request, respond);
            });
        added.address = added.listener->listen("127.0.0.1", 0);
        if (m_path == replica_path::through_proxy) {
            added.proxy = std::make_unique<fault_proxy::proxy_route>(m_loop, "127.0.0.1:0", added.address);
            added.address = added.proxy->address();
        }
        listening.set_value();
    });
    listening.get_future().wait();
    m_replicas[added.id] = std::move(replica);
    return added;
}

void platform_deployment::run_on_loop(const std::function<void()>& work) {
    std::promise<void> ran;
    m_loop.post([&] {
        work();
        ran.set_value();
    });
    ran.get_future().wait();
}

void platform_deployment::pause_reading(stand_in_replica& replica) {
    run_on_loop([&replica] { replica.reading_paused = true; });
}

void platform_deployment::resume_reading(stand_in_replica& replica) {
    run_on_loop([&replica] {
        replica.reading_paused = false;
        for (const auto& read : std::exchange(replica.unread, {})) {
            read();
        }
    });
}

void platform_deployment::inject_path_faults(stand_in_replica& replica,
                                             const std::function<void(fault_proxy::proxy_route&)>& change) {
    run_on_loop([&] { change(*replica.proxy); });
}

std::chrono::microseconds platform_deployment::elapsed() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                                 m_started_at);
}

void platform_deployment::answer(stand_in_replica& replica, const plain_request& request,
                                 const testing_support::plain_responder& respond) {
    if (replica.reading_paused) {
        replica.unread.emplace_back([this, &replica, request, respond] { serve(replica, request, respond); });
        return;
    }
    serve(replica, request, respond);
}

void platform_deployment::crash(stand_in_replica& replica) {
    ++m_crashes;
    replica.proxy->stop_listening();
    m_loop.run_after(crash_downtime, [&replica] { replica.proxy->listen_again(); });
}

void platform_deployment::serve(stand_in_replica& replica, const plain_request& request,
                                const testing_support::plain_responder& respond) {
    {
        const std::lock_guard lock{m_records};
        m_extra_load.on_arrival(elapsed(), replica.service, request.field("x-tamarackstand-request-id"));
        m_request_limits.on_arrival(elapsed(), replica.id, any_host);
    }
    plain_response response;
    response.fields[first_field] = "stand-in";
    response.fields["x-tamarackstand-request-id"] = request.field("x-tamarackstand-request-id");
    response.fields["x-tamarackstand-replica-load"] = "1,0,2";
    if (request.field("x-tamarackstand-target-replica") != replica.id) {
        ++replica.misdirected;
        response.status = 421;
        response.fields["x-tamarackstand-not-executed"] = "1";
        respond(response);
        return;
    }
    const unsigned number = ++replica.received;
    if (is_due(replica.repeats_each, number)) {
        response.repeated = replica.repetition;
    }
    if (is_due(replica.rejects_each, number)) {
        response.status = 503;
        response.fields["x-tamarackstand-not-executed"] = "1";
        respond(response);
        return;
    }
    ++replica.runs;
    replica.saw_key = replica.saw_key || !request.field("authorization").empty();
    replica.runs_for_team += request.field("x-tamarackstand-tenant") == "divers" ? 1 : 0;
    {
        const std::lock_guard lock{m_records};
        ++m_runs[{replica.service, request.field("x-tamarackstand-request-id")}];
    }
    if (replica.proxy && request.path == crashing_path) {
        crash(replica);
        return;
    }
    state_request_limit(replica, response);
    const bool fails = replica.fails || is_due(replica.fails_each, number);
    response.status = fails ? replica.failure_status.load() : status_ok;
    if (replica.repeats_as_success && fails) {
        response.repeated_status = status_ok;
    }
    std::string stamp = replica.id + "." + std::to_string(replica.runs);
    stamp.resize(std::max(stamp.size(), replica.min_stamp_bytes.load()), '.');
    response.fields["x-tamarackstand-response-stamp"] = stamp;
    response.body =
        std::string(record_bytes, static_cast<char>('a' + replica.service.size() % 26)) + record_of(stamp);
    {
        const std::lock_guard lock{m_records};
        m_replies.emplace(stamp, replica_reply{request.field("x-tamarackstand-request-id"), response.status,
                                               response.body});
    }
    m_loop.run_after(std::chrono::milliseconds{replica.work_ms.load()},
                     [respond, response] { respond(response); });
}

void platform_deployment::state_request_limit(stand_in_replica& replica, plain_response& response) {
    const double limit = replica.request_limit;
    if (limit < 0.0) {
        return;
    }
    response.fields["server-limit"] = std::to_string(limit);
    const std::lock_guard lock{m_records};
    m_request_limits.on_stated(elapsed(), replica.id, any_host, limit);
}

void platform_deployment::lift_request_limit(stand_in_replica& replica) {
    replica.request_limit = stand_in_replica::no_request_limit;
    const std::lock_guard lock{m_records};
    m_request_limits.on_lifted(replica.id);
}

unsigned platform_deployment::send_heartbeat(stand_in_replica& replica, std::size_t host,
                                             const std::string& state) {
    replica.draining = replica.draining || state == "draining";
    Json::Value body;
    body["service"] = replica.service;
    body["address"] = replica.address;
    body["zone"] = replica.zone;
    body["version"] = "v1";
    body["max-concurrency"] = 2;
    body["state"] = state;
    body["warmup-left-ms"] = 0;
    body["sequence"] = Json::UInt64{++replica.sequence};
    body["born"] = Json::UInt64{replica.born};
    plain_request request;
    request.method = "POST";
    request.path = "/tamarackstand/Replicas.Heartbeat/" + replica.id;
    request.body = body.toStyledString();
    const auto response =
        testing_support::call_and_wait(ip_of(host) + ":" + port(2), request, heartbeat_limit);
    return response ? response->status : 0;
}

unsigned platform_deployment::deregister(stand_in_replica& replica, std::size_t host) {
    replica.ended = true;
    plain_request request;
    request.method = "POST";
    request.path = "/tamarackstand/Replicas.Deregister/" + replica.id;
    request.body = "{\"born\":" + std::to_string(replica.born) + "}";
    const auto response = testing_support::call_and_wait(ip_of(host) + ":" + port(2), request, call_limit);
    return response ? response->status : 0;
}

void platform_deployment::start_heartbeats() {
    std::size_t host = 0;
    for (const auto& [id, replica] : m_replicas) {
        m_heartbeats.emplace_back(
            [this, beating = replica.get(), first = host++ % hosts()] { send_heartbeats(*beating, first); });
    }
}

void platform_deployment::send_heartbeats(stand_in_replica& replica, std::size_t first_host) {
    std::size_t host = first_host;
    while (!m_ending && !replica.ended) {
        if (send_heartbeat(replica, host, replica.draining ? "draining" : "ready") != status_ok) {
            host = (host + 1) % hosts();
        }
        std::this_thread::sleep_for(heartbeat_interval);
    }
}

} // namespace tamarack::platform_integration
