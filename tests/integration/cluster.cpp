#include "cluster.h"

#include "support/net/http_call.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <utility>

namespace tamarack::integration {

using testing_support::call_and_wait;
using testing_support::plain_request;
using testing_support::plain_response;
using testing_support::test_timeout;

namespace {

constexpr std::chrono::milliseconds call_limit{10'000};
constexpr unsigned status_ok = 200;

std::string route_name(const std::string& from, const std::string& to) {
    return from + "_" + to;
}

void require(bool condition, const std::string& what, const testing_support::process_group& processes) {
    if (!condition) {
        throw std::runtime_error{what + "\n" + processes.logs()};
    }
}

} // namespace

Json::Value to_json(const std::string& text) {
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
        return {};
    }
    return value;
}

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

cluster::cluster(cluster_options options) : m_options(std::move(options)) {
    for (const std::string& host : m_options.control_hosts) {
        m_ports.emplace(std::piecewise_construct, std::forward_as_tuple(host), std::forward_as_tuple());
    }
}

std::vector<std::string> cluster::hosts() const {
    std::vector<std::string> all = m_options.control_hosts;
    all.insert(all.end(), m_options.entry_hosts.begin(), m_options.entry_hosts.end());
    return all;
}

bool cluster::is_control(const std::string& host) const {
    const auto& names = m_options.control_hosts;
    return std::find(names.begin(), names.end(), host) != names.end();
}

std::string cluster::own_address(const std::string& host) const {
    const auto found = m_ports.find(host);
    return "127.0.0.1:" + std::to_string(found == m_ports.end() ? 0 : found->second.port());
}

std::string cluster::settings_file(const std::string& host) const {
    return (m_processes.folder().path() / (host + ".ini")).string();
}

std::string cluster::target_name(const std::string& shard, int replica) {
    return shard + "-r" + std::to_string(replica);
}

std::string cluster::seeds_for(const std::string& host) const {
    std::string lines;
    for (const std::string& other : m_options.control_hosts) {
        const bool proxied = m_options.through_proxy && is_control(host) && other != host;
        lines += other + " = " +
                 (proxied ? m_processes.address("proxy", route_name(host, other)) : own_address(other)) +
                 "\n";
    }
    return lines;
}

void cluster::write_settings(const std::string& host, const std::string& role) {
    std::string text = "[host]\nname = " + host + "\ndata_center = dc-a\nrole = " + role + "\n";
    if (role != "entry") {
        const auto folder = m_processes.folder().path() / (host + ".data");
        std::filesystem::create_directory(folder);
        text += "data_folder = " + folder.string() + "\n";
    }
    text += "[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\nhosts = " + own_address(host) +
            "\n[seeds]\n" + seeds_for(host) + "[times]\ndirectory_keep = 300ms\n" + m_options.more_settings;
    m_processes.folder().write(host + ".ini", text);
}

void cluster::start_proxy() {
    std::vector<std::string> arguments;
    for (const std::string& from : m_options.control_hosts) {
        for (const std::string& to : m_options.control_hosts) {
            if (from != to) {
                arguments.emplace_back("--route");
                arguments.push_back(route_name(from, to) + "=127.0.0.1:0>" + own_address(to));
            }
        }
    }
    m_processes.start("proxy", TAMARACK_FAULT_PROXY, arguments);
}

void cluster::start_host(const std::string& host) {
    m_processes.start(host, TAMARACK_DAEMON, {"--settings", settings_file(host)});
}

void cluster::start_hosts() {
    if (m_options.through_proxy) {
        start_proxy();
    }
    for (const std::string& host : hosts()) {
        write_settings(host, is_control(host) ? "both" : "entry");
        start_host(host);
    }
}

void cluster::bootstrap() {
    std::vector<std::string> arguments{"bootstrap"};
    arguments.insert(arguments.end(), m_options.control_hosts.begin(), m_options.control_hosts.end());
    const tool_result bootstrapped = run_tool(arguments);
    require(bootstrapped.exit_code == 0, "bootstrap failed: " + bootstrapped.errors, m_processes);
    const std::string ticket = m_processes.folder().write("ticket-1.json", ticket_text(1));
    const tool_result submitted = run_tool({"ticket", "submit", ticket});
    require(submitted.exit_code == 0, "ticket 1 failed: " + submitted.errors, m_processes);
}

void cluster::start_target(const std::string& shard, int replica) {
    std::vector<std::string> arguments{"--name",          target_name(shard, replica),
                                       "--service",       "parts",
                                       "--shard",         shard,
                                       "--replica",       std::to_string(replica),
                                       "--index-version", "v1@main",
                                       "--slots",         "8",
                                       "--connections",   "24"};
    for (const std::string& host : hosts()) {
        arguments.insert(arguments.end(), {"--entry-host", callers(host)});
    }
    const auto& more = m_options.target_arguments;
    arguments.insert(arguments.end(), more.begin(), more.end());
    m_processes.start(target_name(shard, replica), TAMARACK_STAND_IN_TARGET, arguments);
}

void cluster::start_targets() {
    for (const std::string& shard : m_options.shards) {
        for (int replica = 0; replica < m_options.replicas; ++replica) {
            start_target(shard, replica);
        }
    }
}

void cluster::start_serving() {
    start_hosts();
    bootstrap();
    start_targets();
    for (const std::string& host : hosts()) {
        wait_until_serving(host);
    }
}

void cluster::wait_until_serving(const std::string& host) {
    std::string last;
    const bool serving = eventually([&] {
        const auto response = query(host, "is it there?");
        last = response ? response->body : "no answer";
        return response && response->status == status_ok && to_json(response->body)["outcome"] == "answered";
    });
    if (!serving) {
        last += to_text(operators_get(host, "/v1/state"));
    }
    require(serving, host + " does not answer whole queries: " + last, m_processes);
}

std::string cluster::ticket_text(unsigned number) const {
    Json::Value service;
    service["id"] = "parts";
    service["maps"][0]["name"] = "main";
    for (const std::string& shard : m_options.shards) {
        service["maps"][0]["shards"].append(shard);
    }
    service["preference"] = "coverage";
    service["least_coverage"] = 0.5;
    service["default_deadline_ms"] = 2'000;
    service["entry_hosts"] = static_cast<Json::UInt>(hosts().size());
    Json::Value limits;
    limits["service"] = "parts";
    limits["slots"] = 8;
    limits["connections"] = 24;
    Json::Value ticket;
    ticket["number"] = number;
    ticket["services"].append(service);
    ticket["limits"].append(limits);
    return to_text(ticket);
}

tool_result cluster::run_tool(std::vector<std::string> arguments) {
    for (const std::string& host : hosts()) {
        arguments.insert(arguments.end(), {"--operators", operators(host), "--callers", callers(host)});
    }
    const auto base = m_processes.folder().path() / ("tool-" + std::to_string(++m_tool_runs));
    testing_support::child_process tool{TAMARACK_TOOL, arguments, base.string()};
    const auto end = tool.wait(test_timeout);
    return {end ? end->exit_code : -1, tool.output(), tool.errors()};
}

std::optional<plain_response> cluster::query(const std::string& host, const std::string& body,
                                             const testing_support::header_fields& fields,
                                             const std::string& shard) const {
    return query_at(callers(host), body, fields, shard);
}

std::optional<plain_response> cluster::query_at(const std::string& address, const std::string& body,
                                                const testing_support::header_fields& fields,
                                                const std::string& shard) {
    Json::Value query_body;
    query_body["request_id"] = "test-" + body;
    query_body["body"] = body;
    if (!shard.empty()) {
        query_body["shard"] = shard;
    }
    plain_request request;
    request.method = "POST";
    request.path = "/v1/services/parts/requests";
    request.fields = fields;
    request.body = to_text(query_body);
    return call_and_wait(address, request, call_limit);
}

Json::Value cluster::operators_get(const std::string& host, const std::string& path) const {
    plain_request request;
    request.path = path;
    const auto response = call_and_wait(operators(host), request, call_limit);
    return response && response->status == status_ok ? to_json(response->body) : Json::Value{};
}

Json::Value cluster::target_record(const std::string& target) const {
    plain_request request;
    request.path = "/test/runs";
    const auto response = call_and_wait(m_processes.address(target), request, call_limit);
    return response ? to_json(response->body) : Json::Value{};
}

void cluster::set_target(const std::string& target, const Json::Value& changes) const {
    plain_request request;
    request.method = "POST";
    request.path = "/test/set";
    request.body = to_text(changes);
    const auto response = call_and_wait(m_processes.address(target), request, call_limit);
    require(response && response->status == status_ok, "a target rejected a change of its behaviour",
            m_processes);
}

void cluster::set_fault(const std::string& from, const std::string& to, const Json::Value& faults) const {
    plain_request request;
    request.method = "POST";
    request.path = "/routes/" + route_name(from, to);
    request.body = to_text(faults);
    const auto response = call_and_wait(m_processes.address("proxy", "control"), request, call_limit);
    require(response && response->status == status_ok, "the proxy rejected a change of its faults",
            m_processes);
}

void cluster::isolate(const std::string& host, bool cut) const {
    Json::Value faults;
    faults["cut_requests"] = cut;
    faults["cut_replies"] = cut;
    faults["close_open"] = !cut;
    for (const std::string& other : m_options.control_hosts) {
        if (other != host) {
            set_fault(host, other, faults);
            set_fault(other, host, faults);
        }
    }
}

} // namespace tamarack::integration
