#include "operators_edge.h"

#include "../server_limits.h"

#include "../serving/caller_codec.h"
#include "operators_codec.h"

#include <memory>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 1'024;

using path_segments = std::vector<std::string>;

const error busy{error_code::overloaded, "this host is busy; try again"};
const error not_control{error_code::not_leader, "this host is not a control host"};

bool is_public(const path_segments& path) {
    return path == path_segments{"metrics"} || path == path_segments{"healthz"};
}

/** @return the response of a host that is not the leader; it names the leader */
http_response not_leader_response(const std::string& message, const host_id& leader) {
    Json::Value body;
    body["error"] = std::string{to_name(error_code::not_leader)};
    body["message"] = message;
    body["leader"] = leader.value();
    return json_response(421, body);
}

} // namespace

operators_edge::operators_edge(const settings& host_settings, metric_registry& metrics,
                               operator_tokens tokens, operators_hooks hooks)
    : m_settings(host_settings), m_metrics(metrics), m_tokens(std::move(tokens)), m_hooks(std::move(hooks)),
      m_thread("operators", ring_capacity),
      m_server(m_thread, server_limits_of(host_settings, server_kind::operators),
               [this](const http_request& message, const http_responder& respond) {
                   return on_http(message, respond);
               }) {
    report_refusals(m_server, server_kind::operators, m_metrics);
}

outcome<endpoint> operators_edge::start() {
    auto listening = m_server.listen(m_settings.listen.operators);
    m_thread.start();
    return listening;
}

void operators_edge::stop() {
    m_thread.stop();
}

std::function<void()> operators_edge::on_http(const http_request& message, const http_responder& respond) {
    const request_target target = split_target(message.target);
    const bool reads = message.method == http_method::get;
    if (reads && is_public(target.path)) {
        on_get(target.path, respond);
        return nullptr;
    }
    const auto author = m_tokens.find(find_field(message.fields, "Authorization"));
    if (!author) {
        respond(to_response(error{error_code::unauthorized, "a valid bearer token is required"}));
    } else if (reads) {
        on_get(target.path, respond);
    } else {
        on_post(target.path, message, *author, respond);
    }
    return nullptr;
}

void operators_edge::on_get(const path_segments& path, const http_responder& respond) {
    if (path == path_segments{"metrics"}) {
        http_response response;
        response.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = m_metrics.serialize();
        respond(std::move(response));
    } else if (path == path_segments{"healthz"}) {
        respond(http_response{});
    } else if (path == path_segments{"v1", "tickets", "in-force"}) {
        show_in_force(respond);
    } else if (path == path_segments{"v1", "tickets", "history"}) {
        show_history(respond);
    } else if (path == path_segments{"v1", "state"}) {
        show_state(respond);
    } else {
        respond(to_response(error{error_code::not_found, "no such path"}));
    }
}

void operators_edge::on_post(const path_segments& path, const http_request& message,
                             const std::string& author, const http_responder& respond) {
    if (path == path_segments{"v1", "tickets"}) {
        submit_ticket(message, author, respond);
    } else if (path == path_segments{"v1", "bootstrap"}) {
        bootstrap(message, respond);
    } else if (path == path_segments{"v1", "voters"}) {
        change_voters(message, respond);
    } else if (path == path_segments{"v1", "drain"}) {
        m_hooks.drain();
        respond(http_response{202, {}, {}});
    } else {
        respond(to_response(error{error_code::not_found, "no such path"}));
    }
}

http_responder operators_edge::from_any_thread(const http_responder& respond) {
    return [this, respond](http_response response) {
        m_thread.try_post([respond, response = std::move(response)] { respond(response); });
    };
}

void operators_edge::show_in_force(const http_responder& respond) {
    const http_responder answer = from_any_thread(respond);
    const auto ask_hosts = [this, answer](const host_id& leader) {
        return m_hooks.hosts->post_overview([answer, leader](const hosts_overview& hosts) {
            answer(not_leader_response("only the leader knows whether a ticket is in force on all hosts",
                                       leader.empty() ? hosts.leader : leader));
        });
    };
    if (m_hooks.control == nullptr) {
        if (!ask_hosts({})) {
            respond(to_response(busy));
        }
        return;
    }
    const bool posted = m_hooks.control->post_overview([answer, ask_hosts](const control_overview& control) {
        if (control.report.role != raft_role::leader) {
            ask_hosts(control.report.leader);
            return;
        }
        answer(json_response(200, encode_in_force(control)));
    });
    if (!posted) {
        respond(to_response(busy));
    }
}

void operators_edge::show_history(const http_responder& respond) {
    if (m_hooks.control == nullptr) {
        respond(to_response(not_control));
        return;
    }
    const http_responder answer = from_any_thread(respond);
    const bool posted = m_hooks.control->post_overview([answer](const control_overview& control) {
        answer(json_response(200, encode_history(control.history)));
    });
    if (!posted) {
        respond(to_response(busy));
    }
}

void operators_edge::show_state(const http_responder& respond) {
    const http_responder answer = from_any_thread(respond);
    const bool posted = m_hooks.hosts->post_overview([this, answer](const hosts_overview& hosts) {
        if (m_hooks.control == nullptr) {
            answer(json_response(200, encode_overview(m_settings, hosts, nullptr, steady_now())));
            return;
        }
        const bool asked =
            m_hooks.control->post_overview([this, answer, hosts](const control_overview& control) {
                answer(json_response(200, encode_overview(m_settings, hosts, &control, steady_now())));
            });
        if (!asked) {
            answer(to_response(busy));
        }
    });
    if (!posted) {
        respond(to_response(busy));
    }
}

void operators_edge::submit_ticket(const http_request& message, const std::string& author,
                                   const http_responder& respond) {
    auto parsed = parse_ticket(message.body);
    if (!succeeded(parsed)) {
        respond(to_response(error_of(parsed)));
        return;
    }
    if (m_hooks.control == nullptr) {
        show_in_force(respond);
        return;
    }
    ticket candidate = value_of(std::move(parsed));
    candidate.author = author;
    const http_responder answer = from_any_thread(respond);
    const bool posted = m_hooks.control->post_ticket(
        std::move(candidate), [answer](const outcome<ticket_answer>& result, const host_id& leader) {
            if (succeeded(result)) {
                answer(to_response(value_of(result)));
            } else if (error_of(result).code == error_code::not_leader) {
                answer(not_leader_response(error_of(result).message, leader));
            } else {
                answer(to_response(error_of(result)));
            }
        });
    if (!posted) {
        respond(to_response(busy));
    }
}

void operators_edge::resolve_members(const http_request& message, const http_responder& respond,
                                     const std::function<void(std::vector<member_id>)>& next) {
    const auto body = read_json(message.body);
    if (!succeeded(body) || !value_of(body)["voters"].isArray()) {
        respond(to_response(error{error_code::malformed, R"(the body must be {"voters":["host",...]})"}));
        return;
    }
    std::vector<host_id> host_names;
    for (const Json::Value& name : value_of(body)["voters"]) {
        if (!name.isString()) {
            respond(to_response(error{error_code::malformed, "voters must be an array of host names"}));
            return;
        }
        host_names.emplace_back(name.asString());
    }
    const http_responder answer = from_any_thread(respond);
    const bool posted = m_hooks.hosts->post_overview([answer, host_names, next](const hosts_overview& hosts) {
        std::vector<member_id> members;
        for (const host_id& host : host_names) {
            const auto found = hosts.identities.find(host);
            if (found == hosts.identities.end()) {
                answer(to_response(error{error_code::not_ready, "control host " + host.value() +
                                                                    " has not announced its identity yet"}));
                return;
            }
            members.push_back(found->second);
        }
        next(std::move(members));
    });
    if (!posted) {
        respond(to_response(busy));
    }
}

void operators_edge::bootstrap(const http_request& message, const http_responder& respond) {
    if (m_hooks.control == nullptr) {
        respond(to_response(not_control));
        return;
    }
    const http_responder answer = from_any_thread(respond);
    resolve_members(message, respond, [this, answer](std::vector<member_id> members) {
        m_hooks.control->post_bootstrap(std::move(members), [answer](const outcome<done>& result) {
            answer(succeeded(result) ? http_response{204, {}, {}} : to_response(error_of(result)));
        });
    });
}

void operators_edge::change_voters(const http_request& message, const http_responder& respond) {
    if (m_hooks.control == nullptr) {
        respond(to_response(not_control));
        return;
    }
    const http_responder answer = from_any_thread(respond);
    resolve_members(message, respond, [this, answer](std::vector<member_id> members) {
        m_hooks.control->post_change_voters(std::move(members), [answer](const outcome<done>& result) {
            answer(succeeded(result) ? http_response{202, {}, {}} : to_response(error_of(result)));
        });
    });
}

} // namespace tamarack
