#include "control_edge.h"

#include "../process_memory.h"
#include "../server_limits.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 4'096;
constexpr std::size_t max_configuration_size = 8 * mebibyte;

http_server_limits control_limits_of(const settings& host_settings) {
    http_server_limits limits = server_limits_of(host_settings, server_kind::control);
    limits.body_bytes = max_configuration_size;
    return limits;
}

control_outcome unavailable(std::string message) {
    control_outcome result;
    result.result = control_result::unavailable;
    result.message = std::move(message);
    return result;
}

control_outcome failed(control_result kind, std::string message) {
    control_outcome result;
    result.result = kind;
    result.message = std::move(message);
    return result;
}

const auto busy = "this host is busy; try again";

} // namespace

control_edge::control_edge(const settings& host_settings, edge_protocol edge, metric_registry& metrics,
                           control_edge_hooks hooks)
    : m_settings(host_settings), m_edge(std::move(edge)), m_hooks(hooks),
      m_thread("control_edge", ring_capacity),
      m_server(m_thread, control_limits_of(host_settings),
               [this](const http_request& message, const http_responder& respond) {
                   on_http(message, respond);
                   return std::function<void()>{};
               }) {
    report_refusals(m_server, server_kind::control, metrics);
}

outcome<endpoint> control_edge::start() {
    auto listening = m_server.listen(m_settings.edge.control);
    m_thread.start();
    return listening;
}

void control_edge::stop() {
    m_thread.stop();
}

void control_edge::on_http(const http_request& message, const http_responder& respond) {
    const answerer answer = [this, respond, path = message.target](control_outcome result) {
        result.path = path;
        const bool posted = m_thread.try_post(
            [this, respond, result = std::move(result)] { respond(m_edge.write_control_outcome(result)); });
        if (!posted) {
            log_state_change(log_level::warning, "control_answer_dropped", {}, {{"path", path}});
        }
    };
    control_call call = m_edge.read_control_call(message);
    if (const auto* submitted = std::get_if<submit_configuration>(&call)) {
        log_configuration_step("received", submitted->candidate.number,
                               {"bytes", std::to_string(message.body.size())});
    }
    std::visit(overloaded{
                   [&](submit_configuration& submitted) { submit(std::move(submitted.candidate), answer); },
                   [&](const read_configuration& /*asked*/) { read_latest(answer); },
                   [&](const order_evacuation& ordered) { order(ordered, answer); },
                   [&](announce_target& announced) { announce(std::move(announced.value), answer); },
                   [&](const deregister_target& deregistered) { deregister(deregistered, answer); },
                   [&](const unreadable_call& unreadable) {
                       const bool unknown = unreadable.reason.code == error_code::not_found;
                       answer(failed(unknown ? control_result::not_found : control_result::invalid,
                                     unreadable.reason.message));
                   },
               },
               call);
}

void control_edge::submit(ticket candidate, const answerer& answer) {
    const ticket_faults faults = check_ticket(candidate, {});
    if (!faults.empty()) {
        log_state_change(log_level::warning, "configuration_refused", candidate.number,
                         {{"reason", error_of_faults(faults).message}});
        answer(failed(control_result::invalid, error_of_faults(faults).message));
        return;
    }
    if (m_hooks.control == nullptr) {
        answer_with_redirect(answer);
        return;
    }
    const bool posted = m_hooks.control->post_ticket(
        std::move(candidate), [this, answer](const outcome<ticket_answer>& result, const host_id& leader) {
            answer_ticket(result, leader, answer);
        });
    if (!posted) {
        answer(unavailable(busy));
    }
}

void control_edge::answer_ticket(const outcome<ticket_answer>& result, const host_id& leader,
                                 const answerer& answer) const {
    if (!succeeded(result)) {
        const bool not_leader = error_of(result).code == error_code::not_leader;
        answer(not_leader ? redirect_to(leader) : unavailable(error_of(result).message));
        return;
    }
    const ticket_answer& decided = value_of(result);
    if (decided.verdict == ticket_verdict::refused) {
        answer(failed(control_result::invalid, error_of_faults(decided.faults).message));
        return;
    }
    answer(control_outcome{});
}

void control_edge::read_latest(const answerer& answer) {
    if (m_hooks.control == nullptr) {
        answer_with_redirect(answer);
        return;
    }
    const bool posted = m_hooks.control->post_read_latest(
        [this, answer](const outcome<shared_configuration>& result, const host_id& leader) {
            if (!succeeded(result)) {
                const bool not_leader = error_of(result).code == error_code::not_leader;
                answer(not_leader ? redirect_to(leader) : unavailable(error_of(result).message));
            } else if (!value_of(result)->routes) {
                answer(unavailable("no configuration has been accepted yet"));
            } else {
                control_outcome read;
                read.document = value_of(result)->routes->source;
                answer(std::move(read));
            }
        });
    if (!posted) {
        answer(unavailable(busy));
    }
}

void control_edge::order(const order_evacuation& ordered, const answerer& answer) {
    const auto& known = m_settings.formation.data_centers;
    if (!known.empty() && std::ranges::find(known, ordered.data_center) == known.end()) {
        answer(failed(control_result::not_found, "unknown data center: " + ordered.data_center.value()));
        return;
    }
    if (m_hooks.control == nullptr) {
        answer_with_redirect(answer);
        return;
    }
    const evacuation_order wanted{ordered.data_center, ordered.active};
    const bool posted = m_hooks.control->post_order(
        wanted, [this, wanted, answer](const outcome<done>& result, const host_id& leader) {
            if (succeeded(result)) {
                log_state_change(log_level::info, "evacuation_ordered", {},
                                 {{"data_center", wanted.data_center.value()},
                                  {"active", wanted.active ? "true" : "false"}});
                answer(control_outcome{});
                return;
            }
            const error& reason = error_of(result);
            if (reason.code == error_code::not_leader) {
                answer(redirect_to(leader));
            } else if (reason.code == error_code::invalid_argument) {
                answer(failed(control_result::refused, reason.message));
            } else {
                answer(unavailable(reason.message));
            }
        });
    if (!posted) {
        answer(unavailable(busy));
    }
}

void control_edge::announce(announcement value, const answerer& answer) {
    const bool posted = m_hooks.hosts->post_announcement(
        std::move(value), [this, answer](const outcome<announcement_receipt>& receipt) {
            if (succeeded(receipt)) {
                control_outcome accepted;
                accepted.announce_to = m_settings.edge.control;
                answer(std::move(accepted));
                return;
            }
            const error_code code = error_of(receipt).code;
            if (code == error_code::stale) {
                answer(control_outcome{});
            } else {
                const bool transient = code == error_code::overloaded || code == error_code::unavailable;
                answer(failed(transient ? control_result::unavailable : control_result::refused,
                              error_of(receipt).message));
            }
        });
    if (!posted) {
        answer(unavailable(busy));
    }
}

void control_edge::deregister(const deregister_target& deregistered, const answerer& answer) {
    const bool posted = m_hooks.hosts->post_deregistration(
        deregistered.target, deregistered.incarnation, [answer](const outcome<done>& result) {
            // An acknowledgement promises that no host sends requests to the target any more. Another host
            // may still know a target that this host does not know, and if no other host has confirmed the
            // end, the loss of this one would lose it: don't acknowledge either of them.
            const bool unconfirmed = !succeeded(result) && (error_of(result).code == error_code::not_found ||
                                                            error_of(result).code == error_code::unavailable);
            answer(unconfirmed ? unavailable(error_of(result).message) : control_outcome{});
        });
    if (!posted) {
        answer(unavailable(busy));
    }
}

void control_edge::answer_with_redirect(const answerer& answer) {
    const bool posted =
        m_hooks.hosts->post_leader([this, answer](const host_id& leader) { answer(redirect_to(leader)); });
    if (!posted) {
        answer(unavailable(busy));
    }
}

control_outcome control_edge::redirect_to(const host_id& leader) const {
    if (leader.empty() || leader == m_settings.host) {
        return unavailable("no leader is known at the moment");
    }
    const std::string& own = m_settings.edge.control.value();
    control_outcome result;
    result.result = control_result::redirected;
    result.message = "the leader decides";
    result.redirect_to = endpoint{leader.value() + own.substr(own.rfind(':'))};
    return result;
}

} // namespace tamarack
