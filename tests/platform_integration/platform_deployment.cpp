#include "platform_deployment.h"

#include <json/reader.h>
#include <json/value.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>
#include <utility>

namespace tamarack::platform_integration {

namespace {

/** A caller with a persistent connection gives up this long after its deadline. */
constexpr std::chrono::milliseconds callers_margin{100};
constexpr std::size_t ports_of_a_host = 6;
/** Bounds of extra exchanges, as in the platform's settings at Le Goff. */
constexpr const char* extra_ratio = "0.2";
constexpr const char* extra_allowance = "58";
constexpr const char* extra_window_seconds = "10";
constexpr const char* revocation_milliseconds = "5000";
constexpr std::size_t max_seeds = 3;
constexpr unsigned redirect = 307;
constexpr const char* stamp_field = "x-tamarackstand-response-stamp";
constexpr const char* part_stamps_field = "x-tamarackstand-shard-stamps";

/** Replaces every occurrence of a placeholder in the template. */
void replace_placeholder(std::string& text, const std::string& name, const std::string& value) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
        text.replace(at, placeholder.size(), value);
    }
}

/** Resolves the sections of the template that depend on whether a name has a value. */
void resolve_section(std::string& text, const std::string& name, bool present) {
    for (const bool when : {true, false}) {
        const std::string open = (when ? "{{#" : "{{^") + name + "}}";
        const std::string close = "{{/" + name + "}}";
        auto begin = text.find(open);
        while (begin != std::string::npos) {
            const auto end = text.find(close, begin);
            const std::string inner = text.substr(begin + open.size(), end - begin - open.size());
            text.replace(begin, end + close.size() - begin, when == present ? inner : "");
            begin = text.find(open);
        }
    }
}

/** Renders the section of a table: its keys in turn, with commas between. */
void render_table(std::string& text, const std::string& name, const std::vector<std::string>& keys) {
    const std::string open = "{{#" + name + "}}";
    const std::string close = "{{/" + name + "}}";
    for (auto begin = text.find(open); begin != std::string::npos; begin = text.find(open)) {
        const auto end = text.find(close, begin);
        const std::string inner = text.substr(begin + open.size(), end - begin - open.size());
        std::string rendered;
        for (const std::string& key : keys) {
            std::string item = inner;
            replace_placeholder(item, "@", key);
            replace_placeholder(item, ",", key == keys.back() ? "" : ",");
            rendered += item;
        }
        text.replace(begin, end + close.size() - begin, rendered);
    }
}

/** Replaces the fixed port in the value of a key, because several hosts run on this machine. */
void replace_port(std::string& text, const std::string& key, const std::string& value) {
    const auto begin = text.find(key) + key.size();
    text.replace(begin, text.find('\n', begin) - begin, value);
}

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

Json::Value to_json(const std::string& text) {
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr) ? value : Json::Value{};
}

} // namespace

platform_deployment::platform_deployment(std::size_t disk_hosts, std::size_t entry_hosts, replica_path path)
    : m_disk_hosts(disk_hosts), m_entry_hosts(entry_hosts), m_path(path), m_ports(ports_of_a_host),
      m_loop_thread([this] { m_loop.run(); }) {}

platform_deployment::~platform_deployment() {
    m_ending = true;
    for (std::thread& heartbeats : m_heartbeats) {
        heartbeats.join();
    }
    m_loop.stop();
    m_loop_thread.join();
}

std::string platform_deployment::settings_of(std::size_t host) const {
    std::string text = read_file(TAMARACK_TEMPLATE);
    const bool has_disk = host < m_disk_hosts;
    const std::string ip = ip_of(host);
    std::string seeds;
    for (std::size_t seed = 0; seed < std::min(max_seeds, m_disk_hosts); ++seed) {
        seeds += (seeds.empty() ? "" : ",") + ip_of(seed) + ":" + port(2);
    }
    const auto folder = m_processes.folder().path() / ("data-" + std::to_string(host));
    if (has_disk) {
        std::filesystem::create_directories(folder);
    }
    resolve_section(text, "data-dir", has_disk);
    resolve_section(text, "bounds.strict-revocation", m_revokes_keys_everywhere);
    resolve_section(text, "bounds.quota-window-s", false);
    resolve_section(text, "bounds.evacuation-ms", m_evacuates_data_centers);
    render_table(text, "zones", {"zone-0", "zone-1", "zone-2"});
    replace_placeholder(text, "bounds.revoke-ms", revocation_milliseconds);
    replace_placeholder(text, "ip", ip);
    replace_placeholder(text, "zone", "zone-" + std::to_string(host % 3));
    replace_placeholder(text, "data-dir", has_disk ? folder.string() : "");
    replace_placeholder(text, "listen-addresses.front", ip + ":" + port(0));
    replace_placeholder(text, "listen-addresses.ready", ip + ":" + port(1));
    replace_placeholder(text, "listen-addresses.control", ip + ":" + port(2));
    replace_placeholder(text, "listen-addresses.directory", ip + ":" + port(3));
    replace_placeholder(text, "internal-port-range.0", port(4));
    replace_port(text, "operators = " + ip + ":", port(5));
    replace_placeholder(text, "seeds", seeds);
    replace_placeholder(text, "bootstrap", m_first_start ? "true" : "false");
    replace_placeholder(text, "limits.cpu-share", has_disk ? "0.45" : "0.25");
    replace_placeholder(text, "limits.cores", "1");
    resolve_section(text, "limits.memory-mb", true);
    replace_placeholder(text, "limits.memory-mb", "160");
    replace_placeholder(text, "fault-tolerance.machines", "1");
    replace_placeholder(text, "bounds.retry-budget-ratio", extra_ratio);
    replace_placeholder(text, "bounds.budget-min-retries", extra_allowance);
    replace_placeholder(text, "bounds.budget-window-s", extra_window_seconds);
    return text + "\n" + m_more_limits;
}

void platform_deployment::start_host(std::size_t host) {
    const std::string path = m_processes.folder().write(name_of(host) + ".ini", settings_of(host));
    m_processes.start(name_of(host), TAMARACK_DAEMON, {"--settings", path});
}

void platform_deployment::start_all() {
    for (std::size_t host = 0; host < hosts(); ++host) {
        start_host(host);
    }
    m_first_start = false;
}

unsigned platform_deployment::metric_of(std::size_t host, const std::string& name) {
    plain_request request;
    request.path = "/metrics";
    const auto response = testing_support::call_and_wait(ip_of(host) + ":" + port(5), request, call_limit);
    const std::string line = "\n" + name + " ";
    const auto found = response ? response->body.find(line) : std::string::npos;
    return found == std::string::npos
               ? 0
               : static_cast<unsigned>(std::stoul(response->body.substr(found + line.size())));
}

unsigned platform_deployment::known_replicas(std::size_t host) {
    return metric_of(host, "tamarack_targets_known");
}

std::size_t platform_deployment::hosts_that_serve(int version) {
    std::size_t count = 0;
    for (std::size_t host = 0; host < hosts(); ++host) {
        count += metric_of(host, "tamarack_ticket_in_force_number") >= static_cast<unsigned>(version) ? 1 : 0;
    }
    return count;
}

std::optional<plain_response> platform_deployment::control_call(std::size_t first,
                                                                const plain_request& request) {
    std::string address = ip_of(first % hosts()) + ":" + port(2);
    for (int hop = 0; hop < 3; ++hop) {
        auto response = testing_support::call_and_wait(address, request, call_limit);
        if (!response || response->status != redirect) {
            return response;
        }
        const std::string location = response->fields.at("location");
        const std::string rest = location.substr(std::string{"http://"}.size());
        address = rest.substr(0, rest.find('/'));
    }
    return std::nullopt;
}

unsigned platform_deployment::submit(const std::string& document) {
    plain_request request;
    request.method = "POST";
    request.path = "/tamarackstand/Config.Replace";
    request.body = document;
    unsigned status = 0;
    std::size_t host = 0;
    eventually([&] {
        const auto response = control_call(host++, request);
        status = response ? response->status : 0;
        return status >= 200 && status < 500;
    });
    return status;
}

unsigned platform_deployment::order_evacuation(const std::string& zone, bool active, std::size_t first_host) {
    plain_request request;
    request.method = "POST";
    request.path = std::string{"/tamarackstand/Evacuations."} + (active ? "Start/" : "Stop/") + zone;
    unsigned status = 0;
    std::size_t host = first_host;
    eventually([&] {
        const auto response = control_call(host++, request);
        status = response ? response->status : 0;
        return status >= 200 && status < 500;
    });
    return status;
}

std::optional<plain_response> platform_deployment::describe() {
    plain_request request;
    request.path = "/tamarackstand/Config.Describe";
    std::optional<plain_response> response;
    std::size_t host = 0;
    eventually([&] {
        response = control_call(host++, request);
        return response && response->status == 200;
    });
    return response;
}

std::optional<plain_response>
platform_deployment::request(std::size_t host, const std::string& authority, const std::string& path,
                             int deadline_ms, testing_support::persistent_connection* connection) {
    plain_request request;
    request.path = path;
    request.fields = m_caller_fields;
    request.fields["host"] = authority;
    request.fields["x-tamarackstand-request-id"] = "r" + std::to_string(m_next_request++);
    request.fields["x-tamarackstand-deadline-ms"] = std::to_string(deadline_ms);
    if (m_services_of) {
        const std::lock_guard lock{m_records};
        for (const std::string& service : m_services_of(path)) {
            m_extra_load.on_request(elapsed(), service);
        }
    }
    auto response = connection != nullptr
                        ? connection->call(request, std::chrono::milliseconds{deadline_ms} + callers_margin)
                        : testing_support::call_and_wait(callers_address(host), request, call_limit);
    if (response) {
        check_answer(request.fields["x-tamarackstand-request-id"], *response);
    }
    if (response && response->status == status_not_run) {
        const std::lock_guard lock{m_records};
        m_refused.insert(request.fields["x-tamarackstand-request-id"]);
    }
    if (!response) {
        const std::lock_guard lock{m_records};
        m_unanswered.insert(request.fields["x-tamarackstand-request-id"]);
    }
    return response;
}

std::vector<testing_support::extra_load_breach> platform_deployment::extra_load_breaches() {
    const testing_support::extra_load_bound bound{std::stod(extra_ratio), std::stod(extra_allowance),
                                                  std::chrono::seconds{std::stol(extra_window_seconds)}};
    const std::lock_guard lock{m_records};
    return m_extra_load.breaches(bound);
}

std::vector<testing_support::request_limit_breach> platform_deployment::request_limit_breaches() {
    const std::lock_guard lock{m_records};
    return m_request_limits.breaches();
}

std::size_t platform_deployment::extra_load(const std::string& service) {
    const std::lock_guard lock{m_records};
    return m_extra_load.extra(service);
}

std::vector<std::string> platform_deployment::requests_run_after_refusal() {
    return requests_run_of(m_refused);
}

std::vector<std::string> platform_deployment::requests_run_without_answer() {
    return requests_run_of(m_unanswered);
}

void platform_deployment::check_answer(const std::string& request, const plain_response& answer) {
    const std::string stamp = answer.field(stamp_field);
    const std::lock_guard lock{m_records};
    const auto reply = m_replies.find(stamp);
    const bool is_own =
        reply != m_replies.end() && reply->second == replica_reply{request, answer.status, answer.body};
    const bool needs_stamp = answer.status == status_ok && answer.field(part_stamps_field).empty();
    if (!is_own && (needs_stamp || !stamp.empty())) {
        const replica_reply first = reply != m_replies.end() ? reply->second : replica_reply{};
        m_answered_wrongly.push_back(request + " status " + std::to_string(answer.status) + " stamp " +
                                     stamp + ", whose first reply was to " + first.request + " status " +
                                     std::to_string(first.status));
    }
}

std::vector<std::string> platform_deployment::requests_answered_wrongly() {
    const std::lock_guard lock{m_records};
    return m_answered_wrongly;
}

std::vector<std::string> platform_deployment::requests_run_of(const std::set<std::string>& requests) {
    const std::lock_guard lock{m_records};
    std::vector<std::string> found;
    for (const auto& [key, count] : m_runs) {
        if (requests.contains(key.second)) {
            found.push_back(key.second);
        }
    }
    return found;
}

std::vector<std::string> platform_deployment::requests_run_twice(const std::string& service) {
    const std::lock_guard lock{m_records};
    std::vector<std::string> found;
    for (const auto& [key, count] : m_runs) {
        if (key.first == service && count > 1) {
            found.push_back(key.second);
        }
    }
    return found;
}

std::string platform_deployment::explain(std::size_t host, const std::string& request) {
    const std::string ended = "request_ended ";
    const std::string id = "request=" + request + " ";
    eventually([&] {
        std::istringstream lines{output(host)};
        for (std::string line; std::getline(lines, line);) {
            if (line.find(ended) != std::string::npos && line.find(id) != std::string::npos) {
                return true;
            }
        }
        return false;
    });
    const std::string log = m_processes.folder().write("log-" + request, output(host));
    testing_support::child_process tool{TAMARACK_TOOL,
                                        {"explain", request, log},
                                        (m_processes.folder().path() / ("explain-" + request)).string()};
    tool.wait(testing_support::test_timeout);
    return tool.output();
}

bool platform_deployment::ready(std::size_t host) {
    plain_request request;
    request.path = "/tamarackstand/readiness";
    const auto response = testing_support::call_and_wait(ip_of(host) + ":" + port(1), request, call_limit);
    return response && response->status == 200;
}

std::set<std::string> platform_deployment::directory(std::size_t host) {
    plain_request request;
    request.path = "/tamarackstand/resolve?name=x.example&region=r&zone=zone-0";
    const auto response = testing_support::call_and_wait(ip_of(host) + ":" + port(3), request, call_limit);
    std::set<std::string> addresses;
    if (response && response->status == 200) {
        const Json::Value body = to_json(response->body);
        for (const Json::Value& address : body["addrs"]) {
            addresses.insert(address.asString());
        }
    }
    return addresses;
}

} // namespace tamarack::platform_integration
