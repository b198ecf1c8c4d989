#include "soak.h"

#include <csignal>
#include <thread>

namespace tamarack::soak {

using platform_integration::stand_in_replica;
using platform_integration::status_ok;

namespace {

constexpr std::chrono::milliseconds restart_interval{100};
constexpr std::chrono::milliseconds configuration_interval{150};
constexpr std::size_t changes_in_series = 6;
constexpr int normal_work_ms = 2;
constexpr unsigned status_failed = 500;
constexpr std::size_t tolerated_losses = 1;

} // namespace

std::size_t soak_run::stopped_disk_hosts() const {
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.begin() + static_cast<std::ptrdiff_t>(m_options.disk_hosts),
                      [](const host_state& host) { return !host.running || host.paused; }));
}

void soak_run::kill_random_host() {
    const std::size_t host = pick(m_hosts.size());
    if (!m_hosts[host].running || (host < m_options.disk_hosts && stopped_disk_hosts() >= tolerated_losses)) {
        return;
    }
    log_event("kill host " + std::to_string(host));
    m_deployment.kill_host(host);
    m_hosts[host] = {false, false};
}

void soak_run::pause_random_host() {
    const std::size_t host = pick(m_hosts.size());
    if (!m_hosts[host].running || (host < m_options.disk_hosts && stopped_disk_hosts() >= tolerated_losses)) {
        return;
    }
    log_event("pause host " + std::to_string(host));
    m_deployment.process(host).send_signal(SIGSTOP);
    m_hosts[host].paused = true;
}

void soak_run::terminate_random_host() {
    const std::size_t host = pick(m_hosts.size());
    if (!m_hosts[host].running || m_hosts[host].paused ||
        (host < m_options.disk_hosts && stopped_disk_hosts() >= tolerated_losses)) {
        return;
    }
    log_event("terminate host " + std::to_string(host));
    const auto end = m_deployment.stop_host(host);
    if (end.exit_code != 0) {
        report_violation("host " + std::to_string(host) + " ended with " + std::to_string(end.exit_code) +
                         ", signal " + std::to_string(end.signal));
    }
    m_hosts[host] = {false, false};
}

/** Continues a paused host or restarts a stopped one. */
void soak_run::restore_host() {
    const std::size_t host = pick(m_hosts.size());
    if (m_hosts[host].paused) {
        log_event("continue host " + std::to_string(host));
        m_deployment.process(host).send_signal(SIGCONT);
        m_hosts[host].paused = false;
    } else if (!m_hosts[host].running) {
        log_event("start host " + std::to_string(host));
        m_deployment.start_host(host);
        m_hosts[host].running = true;
    }
}

void soak_run::change_configuration() {
    m_configuration_changed_at = std::chrono::steady_clock::now();
    const unsigned version = ++m_version;
    log_event("configuration " + std::to_string(version));
    if (m_deployment.submit(document(version)) == status_ok) {
        m_acknowledged = version;
        m_configuration_changed_at = std::chrono::steady_clock::now();
        log_event("acknowledged " + std::to_string(version));
    }
}

/** Submits several configurations in quick succession, so that services leave the route table and return. */
void soak_run::change_configuration_in_series() {
    for (std::size_t change = 0; change < changes_in_series; ++change) {
        change_configuration();
        std::this_thread::sleep_for(configuration_interval);
    }
}

/** @return running hosts; those with a disk only while fewer of them are down than are tolerated */
std::vector<std::size_t> soak_run::restartable_hosts() const {
    std::vector<std::size_t> hosts;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const bool tolerated = host >= m_options.disk_hosts || stopped_disk_hosts() < tolerated_losses;
        if (m_hosts[host].running && !m_hosts[host].paused && tolerated) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

/** Kills and restarts one host after the other. */
void soak_run::restart_in_series() {
    log_event("restart hosts in series");
    for (const std::size_t host : restartable_hosts()) {
        m_deployment.kill_host(host);
        m_deployment.start_host(host);
        std::this_thread::sleep_for(restart_interval);
    }
}

/** Kills all restartable hosts at the same time and restarts them. */
void soak_run::restart_at_once() {
    log_event("restart hosts at once");
    const std::vector<std::size_t> hosts = restartable_hosts();
    for (const std::size_t host : hosts) {
        m_deployment.process(host).send_signal(SIGKILL);
    }
    for (const std::size_t host : hosts) {
        m_deployment.kill_host(host);
        m_deployment.start_host(host);
    }
}

stand_in_replica& soak_run::pick_replica() {
    auto service = m_replicas.begin();
    std::advance(service, static_cast<std::ptrdiff_t>(pick(m_replicas.size())));
    return *service->second[pick(service->second.size())];
}

/** Alternates between a plain failure and one with the status of a refusal. */
unsigned soak_run::failure_status() const {
    return m_result.faults % 2 == 0 ? status_failed : platform_integration::status_not_run;
}

void soak_run::fail_most_replicas() {
    log_event("most replicas fail");
    for (auto& [service, replicas] : m_replicas) {
        for (stand_in_replica* replica : replicas) {
            replica->failure_status = failure_status();
            replica->fails = m_random() % 4 != 0;
        }
    }
}

void soak_run::restore_replicas() {
    log_event("all replicas work");
    for (auto& [service, replicas] : m_replicas) {
        for (stand_in_replica* replica : replicas) {
            replica->fails = false;
            replica->work_ms = normal_work_ms;
            m_deployment.resume_reading(*replica);
            m_deployment.inject_path_faults(*replica, [](fault_proxy::proxy_route& path) {
                path.faults().delay = {};
                path.faults().refuse = false;
                path.faults().cut_replies = false;
            });
        }
    }
}

void soak_run::pause_replica_reading() {
    stand_in_replica& replica = pick_replica();
    log_event("replica " + replica.id + " stops reading");
    m_deployment.pause_reading(replica);
}

/** Delays, closes, cuts, refuses or silences the connections to a replica. */
void soak_run::inject_path_faults() {
    constexpr std::chrono::milliseconds delay{40};
    stand_in_replica& replica = pick_replica();
    const std::size_t kind = pick(5);
    log_event("path to replica " + replica.id + ", fault " + std::to_string(kind));
    m_deployment.inject_path_faults(replica, [kind, delay](fault_proxy::proxy_route& path) {
        switch (kind) {
        case 0:
            path.faults().delay = delay;
            break;
        case 1:
            path.close_open_connections();
            break;
        case 2:
            path.faults().cut_replies = true;
            break;
        case 3:
            path.faults().refuse = true;
            path.close_open_connections();
            break;
        default:
            path.silence_open_connections();
            break;
        }
    });
}

void soak_run::change_replica_behaviour() {
    stand_in_replica& replica = pick_replica();
    const bool fails = m_random() % 3 == 0;
    replica.failure_status = failure_status();
    replica.fails = fails;
    replica.work_ms = m_random() % 4 == 0 ? 300 : 2;
    log_event("replica " + replica.id + (fails ? " fails" : " works") + " in " +
              std::to_string(replica.work_ms.load()) + " ms");
}

void soak_run::inject_fault() {
    ++m_result.faults;
    switch (pick(16)) {
    case 0:
        return kill_random_host();
    case 1:
        return pause_random_host();
    case 2:
        return terminate_random_host();
    case 3:
        return change_configuration();
    case 4:
        return change_replica_behaviour();
    case 5:
        return change_configuration_in_series();
    case 6:
        return restart_in_series();
    case 7:
        return restart_at_once();
    case 8:
        return fail_most_replicas();
    case 9:
        return restore_replicas();
    case 10:
        return pause_replica_reading();
    case 11:
        return inject_path_faults();
    default:
        return restore_host();
    }
}

} // namespace tamarack::soak
