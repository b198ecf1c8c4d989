#include "serving_worker.h"

#include "../server_limits.h"
#include "../system_random.h"
#include "caller_codec.h"

#include <charconv>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 4'096;
constexpr duration fallback_deadline = 1s;

} // namespace

serving_worker::serving_worker(const settings& host_settings, incarnation_id incarnation,
                               metric_registry& metrics, serving_hooks hooks)
    : m_settings(host_settings), m_metrics(metrics), m_hooks(std::move(hooks)),
      m_thread("serving", ring_capacity),
      m_engine(host_settings.host, incarnation, m_options, system_random()),
      m_connections(
          m_thread, incarnation,
          {[this](connection_number number) { carry_out(m_engine.on_connected(steady_now(), number)); },
           [this](connection_number number) { carry_out(m_engine.on_connection_live(steady_now(), number)); },
           [this](connection_number number) { carry_out(m_engine.on_connection_lost(steady_now(), number)); },
           [this](connection_number number, exchange_reply reply) {
               m_metrics.count(counter_id::exchanges_total, to_name(reply.status));
               carry_out(m_engine.on_reply(steady_now(), number, std::move(reply)));
           }}),
      m_cancellations(m_thread, incarnation),
      m_timer(
          m_thread, [this] { return m_engine.next_timer(); },
          [this](time_point now) { carry_out(m_engine.on_timer(now)); }),
      m_server(m_thread, caller_limits_of(host_settings),
               [this](const http_request& message, http_responder respond) {
                   return on_http(message, std::move(respond));
               }) {
    report_refusals(m_server, server_kind::callers, m_metrics);
}

outcome<endpoint> serving_worker::start() {
    auto listening = m_server.listen(m_settings.listen.callers);
    m_thread.start();
    return listening;
}

void serving_worker::stop() {
    m_thread.stop();
}

bool serving_worker::post_inputs(serving_inputs inputs) {
    return m_thread.try_post([this, inputs = std::move(inputs)] {
        m_inputs = inputs;
        m_cancellations.set_allowed_targets(m_inputs.cancellable);
        carry_out(m_engine.on_view(steady_now(), m_inputs.view));
    });
}

bool serving_worker::post_lease(time_point ends_at) {
    return m_thread.try_post([this, ends_at] { carry_out(m_engine.on_lease(steady_now(), ends_at)); });
}

bool serving_worker::post_claim_answer(request_number request, claim_answer answer) {
    return m_thread.try_post([this, request, answer = std::move(answer)] {
        carry_out(m_engine.on_claim_answer(steady_now(), request, answer));
    });
}

bool serving_worker::post_claim_failed(request_number request) {
    return m_thread.try_post([this, request] { carry_out(m_engine.on_claim_failed(steady_now(), request)); });
}

bool serving_worker::post_crash_suspicion(broadcast_crash_suspicion suspicion) {
    return m_thread.try_post([this, suspicion = std::move(suspicion)] {
        carry_out(m_engine.on_crash_suspicion(steady_now(), suspicion));
    });
}

bool serving_worker::post_quarantine(digest request) {
    return m_thread.try_post(
        [this, request = std::move(request)] { carry_out(m_engine.on_quarantine(steady_now(), request)); });
}

bool serving_worker::post_drain(std::function<void()> drained) {
    return m_thread.try_post([this, drained = std::move(drained)] {
        m_drained = drained;
        carry_out(m_engine.on_draining(steady_now()));
        check_drained();
    });
}

bool serving_worker::post_close(std::function<void()> closed) {
    return m_thread.try_post([this, closed = std::move(closed)] { m_server.close_connections(closed); });
}

std::function<void()> serving_worker::on_http(const http_request& message, http_responder respond) {
    const request_target target = split_target(message.target);
    const auto& path = target.path;
    const bool is_post = message.method == http_method::post;
    if (!is_post && path == std::vector<std::string>{"v1", "entries"}) {
        on_entries(target, respond);
        return nullptr;
    }
    if (is_post && path == std::vector<std::string>{"v1", "targets", "announce"}) {
        on_announce(message, respond);
        return nullptr;
    }
    if (is_post && path.size() == 4 && path[0] == "v1" && path[1] == "services" && path[3] == "requests") {
        return on_query(service_id{path[2]}, message, std::move(respond));
    }
    respond(to_response(error{error_code::not_found, "no such path: " + message.target}));
    return nullptr;
}

std::function<void()> serving_worker::on_query(const service_id& service, const http_request& message,
                                               http_responder respond) {
    auto read = read_request(service, message);
    if (!succeeded(read)) {
        respond(to_response(error_of(read)));
        return nullptr;
    }
    read_caller_request incoming = value_of(std::move(read));
    const time_point now = steady_now();
    const duration limit = incoming.deadline > 0ms ? incoming.deadline : default_deadline(service);
    const request_number number = m_next_request++;
    incoming.request.number = number;
    incoming.request.deadline = now + limit;
    m_waiting[number] = waiting_caller{std::move(respond), service, now, now + limit};
    carry_out(m_engine.on_request(now, std::move(incoming.request)));
    return [this, number] {
        m_waiting.erase(number);
        carry_out(m_engine.on_caller_gone(steady_now(), number));
    };
}

void serving_worker::on_entries(const request_target& target, const http_responder& respond) {
    const service_id service{std::string{target.parameter("service")}};
    if (m_inputs.directory == nullptr) {
        respond(to_response(error{error_code::not_ready, "this host has not received a configuration yet"}));
        return;
    }
    const std::string_view caller = target.parameter("caller");
    std::uint64_t distribution_key = m_next_request++;
    if (!caller.empty()) {
        distribution_key = stable_hash(caller);
    }
    const data_center_id near{std::string{target.parameter("data_center")}};
    const auto found =
        find_entries(*m_inputs.directory, service, near, distribution_key, m_settings.times.directory_keep);
    respond(succeeded(found) ? to_response(service, value_of(found)) : to_response(error_of(found)));
}

void serving_worker::on_announce(const http_request& message, const http_responder& respond) {
    const auto body = read_json(message.body);
    if (!succeeded(body)) {
        respond(to_response(error_of(body)));
        return;
    }
    auto decoded = decode_announcement(value_of(body));
    if (!succeeded(decoded)) {
        respond(to_response(error_of(decoded)));
        return;
    }
    auto deliver = [this, respond](outcome<announcement_receipt> receipt) {
        m_metrics.count(counter_id::announcements_total, succeeded(receipt) ? "accepted" : "refused");
        m_thread.try_post([respond, receipt = std::move(receipt)] {
            respond(succeeded(receipt) ? to_response(value_of(receipt)) : to_response(error_of(receipt)));
        });
    };
    if (!m_hooks.announce(value_of(std::move(decoded)), std::move(deliver))) {
        respond(to_response(error{error_code::overloaded, "too many announcements are pending; try again"}));
    }
}

void serving_worker::carry_out(query_actions actions) {
    for (query_action& action : actions) {
        std::visit(overloaded{
                       [this](open_connection& open) {
                           m_metrics.count(counter_id::connections_opened_total);
                           m_connections.open(open, m_options.connect_timeout);
                       },
                       [this](const close_connection& close) { m_connections.close(close.connection); },
                       [this](const send_exchange& send) { m_connections.send(send); },
                       [this](const cancel_exchange& cancel) { m_cancellations.cancel(cancel); },
                       [this](const probe_connection& probe) { m_connections.probe(probe); },
                       [this](const commit_claim& claim) {
                           if (!m_hooks.commit(claim)) {
                               post_claim_failed(claim.request);
                           }
                       },
                       [this](const record_claim_result& result) { m_hooks.record(result); },
                       [this](const broadcast_crash_suspicion& suspicion) { carry_out(suspicion); },
                       [this](const broadcast_quarantine& quarantine) { m_hooks.quarantine(quarantine); },
                       [this](const answer_caller& answer) { carry_out(answer); },
                   },
                   action);
    }
    m_timer.rearm();
    check_drained();
}

void serving_worker::carry_out(const answer_caller& action) {
    const query_answer& answer = action.answer;
    m_metrics.count(counter_id::requests_total, to_name(answer.outcome));
    if (answer.reason != refusal_reason::none) {
        m_metrics.count(counter_id::refusals_total, to_name(answer.reason));
    }
    if (!m_unconfirmed_suspicions.contains(answer.number)) {
        deliver(answer);
        return;
    }
    m_held_answers[answer.number] = answer;
    const auto waiting = m_waiting.find(answer.number);
    if (waiting != m_waiting.end()) {
        m_thread.run_at(waiting->second.deadline - m_options.answer_margin,
                        [this, number = answer.number] { release_held_answer(number); });
    }
}

void serving_worker::carry_out(const broadcast_crash_suspicion& action) {
    ++m_unconfirmed_suspicions[action.request];
    const auto on_confirmed = [this, request = action.request] {
        m_thread.try_post([this, request] { on_suspicion_confirmed(request); });
    };
    if (!m_hooks.broadcast_suspicion(action, on_confirmed)) {
        on_suspicion_confirmed(action.request);
    }
}

void serving_worker::on_suspicion_confirmed(request_number request) {
    const auto unconfirmed = m_unconfirmed_suspicions.find(request);
    if (unconfirmed == m_unconfirmed_suspicions.end() || --unconfirmed->second > 0) {
        return;
    }
    m_unconfirmed_suspicions.erase(unconfirmed);
    release_held_answer(request);
}

void serving_worker::release_held_answer(request_number request) {
    const auto held = m_held_answers.find(request);
    if (held == m_held_answers.end()) {
        return;
    }
    const query_answer answer = std::move(held->second);
    m_held_answers.erase(held);
    deliver(answer);
    check_drained();
}

void serving_worker::deliver(const query_answer& answer) {
    const auto waiting = m_waiting.find(answer.number);
    if (waiting == m_waiting.end()) {
        return;
    }
    const waiting_caller caller = std::move(waiting->second);
    m_waiting.erase(waiting);
    m_metrics.observe(histogram_id::request_duration_seconds, steady_now() - caller.arrived,
                      caller.service.value());
    caller.respond(to_response(answer, other_addresses()));
}

void serving_worker::check_drained() {
    if (!m_drained || m_engine.unanswered() > 0 || !m_held_answers.empty()) {
        return;
    }
    m_server.stop_accepting();
    const auto drained = std::exchange(m_drained, nullptr);
    drained();
}

duration serving_worker::default_deadline(const service_id& service) const {
    if (m_inputs.view == nullptr) {
        return fallback_deadline;
    }
    const auto found = m_inputs.view->services.find(service);
    return found == m_inputs.view->services.end() ? fallback_deadline
                                                  : found->second.definition.default_deadline;
}

std::vector<endpoint> serving_worker::other_addresses() const {
    std::vector<endpoint> addresses;
    if (m_inputs.directory == nullptr) {
        return addresses;
    }
    for (const host_record& host : m_inputs.directory->hosts) {
        const bool usable =
            host.state == host_state::alive && !host.draining && !host.callers_address.empty();
        if (usable && host.host != m_settings.host) {
            addresses.push_back(host.callers_address);
        }
    }
    return addresses;
}

} // namespace tamarack
