#include "soak.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace tamarack::soak {

using platform_integration::eventually;
using platform_integration::plain_response;
using platform_integration::stand_in_replica;
using platform_integration::status_not_run;
using platform_integration::status_ok;

namespace {

const std::vector<std::string> odd_version_shards{"s1", "s2", "s3"};
const std::vector<std::string> even_version_shards{"t1", "t2", "t3", "t4"};
constexpr std::chrono::milliseconds fault_interval{250};
/** Time within which a configuration is in force on all hosts, as stated by the platform's settings. */
constexpr std::chrono::seconds apply_time{3};
constexpr unsigned status_replicas_failure = 500;

/** @return the shards in a configuration of this version */
const std::vector<std::string>& shards_of(unsigned version) {
    return version % 2 == 0 ? even_version_shards : odd_version_shards;
}

/** @return path and status, and the reason in answers that the host itself generated */
std::string describe_outcome(const std::string& path, const std::optional<plain_response>& response) {
    const std::string kind = path.substr(0, path.rfind('/'));
    if (!response) {
        return kind + " unanswered";
    }
    const bool own = response->status > status_replicas_failure;
    const std::string reason = own ? " " + response->body.substr(0, response->body.find('\n')) : "";
    return kind + " " + std::to_string(response->status) + reason;
}

/** @return the last part of a log */
std::string last_lines(const std::string& log) {
    constexpr std::size_t max_bytes = 6'000;
    return log.substr(log.size() > max_bytes ? log.size() - max_bytes : 0);
}

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(options), m_random(options.seed),
      m_deployment(options.disk_hosts, options.entry_hosts,
                   platform_integration::replica_path::through_proxy),
      m_hosts(options.disk_hosts + options.entry_hosts), m_started(std::chrono::steady_clock::now()) {}

std::size_t soak_run::pick(std::size_t count) {
    return static_cast<std::size_t>(m_random() % count);
}

void soak_run::log_event(const std::string& event) {
    const auto after =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_started);
    const std::lock_guard lock{m_mutex};
    m_result.events.push_back(std::to_string(after.count()) + " ms: " + event);
}

void soak_run::report_violation(const std::string& what) {
    log_event("VIOLATION " + what);
    const std::lock_guard lock{m_mutex};
    m_result.violations.push_back(what);
}

std::string soak_run::document(unsigned version) const {
    std::string shards;
    for (const std::string& shard : shards_of(version)) {
        shards += (shards.empty() ? "\"" : ",\"") + shard + "\"";
    }
    std::string services;
    for (const auto& [service, replicas] : m_replicas) {
        services += (services.empty() ? "" : ",") + std::string{R"({"name":")"} + service +
                    R"(","health-check-path":"/health","max-connections":40})";
    }
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"match","host":"x.example","path-prefix":"/match/","type":"safe","timeout-ms":800,
 "target-latency-ms":200,"priority":1,"fanout-services":[)" +
           shards +
           R"(],"max-attempts":2,"result-limit":4,"min-shard-fraction":0.6},
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":"unsafe","timeout-ms":800,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],"services":[)" +
           services + "]}";
}

void soak_run::prepare() {
    for (const auto* shards : {&odd_version_shards, &even_version_shards}) {
        for (const std::string& shard : *shards) {
            m_replicas[shard] = {&m_deployment.add_replica(shard), &m_deployment.add_replica(shard)};
        }
    }
    for (int replica = 0; replica < 3; ++replica) {
        m_replicas["orders"].push_back(&m_deployment.add_replica("orders"));
    }
    m_deployment.start_all();
    if (m_deployment.submit(document(m_version)) == status_ok) {
        m_acknowledged = m_version;
    }
    m_deployment.count_requests_by([this](const std::string& path) { return services_of(path); });
    m_deployment.start_heartbeats();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        eventually([&] { return m_deployment.ready(host); });
    }
}

void soak_run::check_answer(const plain_response& response, const std::string& path) {
    if (response.status != status_ok || path.rfind("/match/", 0) != 0) {
        return;
    }
    const auto stamps = response.fields.find("x-tamarackstand-shard-stamps");
    const auto missing = response.fields.find("x-tamarackstand-shards-missing");
    if (stamps == response.fields.end() || missing == response.fields.end()) {
        report_violation("a merged answer lists no parts");
        return;
    }
    std::set<std::string> ids;
    std::string list = stamps->second + ",";
    for (auto comma = list.find(','); comma != std::string::npos; comma = list.find(',')) {
        const std::string stamp = list.substr(0, comma);
        ids.insert(
            stamp.substr(stamp.find_first_not_of(' '), stamp.rfind('.') - stamp.find_first_not_of(' ')));
        list.erase(0, comma + 1);
    }
    const std::size_t total = ids.size() + std::stoul(missing->second);
    std::set<char> kinds;
    for (const auto& [service, replicas] : m_replicas) {
        const auto part_count =
            std::count_if(replicas.begin(), replicas.end(),
                          [&](const stand_in_replica* replica) { return ids.contains(replica->id); });
        if (part_count > 1) {
            report_violation("an answer contains two parts of " + service);
        }
        if (part_count > 0) {
            kinds.insert(service.front());
        }
    }
    const std::size_t expected = kinds.contains('s') ? odd_version_shards.size() : even_version_shards.size();
    if (kinds.size() != 1 || total != expected) {
        report_violation("an answer mixes configurations: " + stamps->second + ", missing " +
                         missing->second);
    }
}

void soak_run::call(std::size_t caller) {
    std::mt19937_64 random{m_options.seed * 1'000 + caller};
    std::vector<std::unique_ptr<testing_support::persistent_connection>> connections;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        connections.push_back(
            std::make_unique<testing_support::persistent_connection>(m_deployment.callers_address(host)));
    }
    while (!m_stopping) {
        const std::size_t host = static_cast<std::size_t>(random() % m_hosts.size());
        const std::string path = random() % 3 == 0 ? "/fetch/1" : "/match/1";
        const auto response = m_deployment.request(host, "x.example", path, 700, connections[host].get());
        if (response) {
            check_answer(*response, path);
        }
        std::unique_lock lock{m_mutex};
        ++m_result.by_outcome[describe_outcome(path, response)];
        m_result.answered += response && response->status == status_ok ? 1 : 0;
        m_result.refused += response && response->status == status_not_run ? 1 : 0;
        m_result.failed +=
            !response || (response->status != status_ok && response->status != status_not_run) ? 1 : 0;
        lock.unlock();
        std::this_thread::sleep_for(m_options.think_time);
    }
}

/**
 * @return the services that a request on this path counts for, in the current configuration and, while either
 * may be in force, in the other one
 */
std::vector<std::string> soak_run::services_of(const std::string& path) const {
    if (path.rfind("/fetch/", 0) == 0) {
        return {"orders"};
    }
    std::vector<std::string> services = shards_of(m_version);
    const bool other_may_be_in_force =
        std::chrono::steady_clock::now() - m_configuration_changed_at.load() < apply_time;
    if (other_may_be_in_force) {
        const auto& others = shards_of(m_version + 1);
        services.insert(services.end(), others.begin(), others.end());
    }
    return services;
}

void soak_run::check_extra_load() {
    for (const auto& [service, replicas] : m_replicas) {
        m_result.max_extra = std::max(m_result.max_extra, m_deployment.extra_load(service));
    }
    for (const testing_support::extra_load_breach& breach : m_deployment.extra_load_breaches()) {
        report_violation("service " + breach.service + " received " + std::to_string(breach.extra) +
                         " extra exchanges, " + std::to_string(breach.allowed) +
                         " are allowed, in the window from " +
                         std::to_string(breach.begins / std::chrono::milliseconds{1}) + " ms");
    }
}

void soak_run::check_recovery() {
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (m_hosts[host].paused) {
            m_deployment.process(host).send_signal(SIGCONT);
        } else if (!m_hosts[host].running) {
            m_deployment.start_host(host);
        }
        m_hosts[host] = {};
    }
    restore_replicas();
    check_extra_load();
    const auto read = m_deployment.describe();
    const unsigned read_version =
        read ? static_cast<unsigned>(std::stoul(read->body.substr(read->body.find(':') + 1))) : 0;
    if (read_version < m_acknowledged || read_version > m_version) {
        report_violation("version " + std::to_string(read_version) + " is read back after " +
                         std::to_string(m_acknowledged) + " was acknowledged");
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const bool serves = eventually([&] {
            const auto response = m_deployment.request(host, "x.example", "/match/1", 700);
            return response && response->status == status_ok;
        });
        if (!serves) {
            report_violation("host " + std::to_string(host) + " did not recover; the end of its log:\n" +
                             last_lines(m_deployment.output(host)));
        }
    }
    for (const std::string& request : m_deployment.requests_run_after_refusal()) {
        report_violation("request " + request + " was reported as not run but ran");
    }
    for (const std::string& request : m_deployment.requests_run_twice("orders")) {
        report_violation("request " + request + " ran twice");
    }
}

soak_result soak_run::run() {
    prepare();
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < m_options.callers; ++caller) {
        callers.emplace_back([this, caller] { call(caller); });
    }
    const auto end = std::chrono::steady_clock::now() + m_options.length;
    while (std::chrono::steady_clock::now() < end) {
        inject_fault();
        std::this_thread::sleep_for(fault_interval);
    }
    m_stopping = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    check_recovery();
    return m_result;
}

} // namespace tamarack::soak
