#pragma once

#include "net.h"
#include "record.h"

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/** What a deployment's settings say, as on the users' sheets. */
struct deployment_options {
    std::size_t disk_hosts = 3;
    std::size_t spare_hosts = 0; ///< of the hosts with a disk, the last ones: not started with the others
    std::size_t entry_hosts = 0;
    std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    std::size_t memory_mb = 260;
    std::size_t descriptors = 4'100;
    std::string retries = "62"; ///< budget-min-retries
};

/** Listeners of a host; a host has one address, and the ports are the same on all hosts. */
enum class listener { front, ready, control, directory };

/**
 * Plays the platform: renders settings from platform/host.ini.in, starts the command of deploy/system.toml
 * once per host, each host on a loopback address of its own, and sends configurations as the operator.
 *
 * The working directory is the repository's root, as the deploy file says.
 */
class deployment {
public:
    deployment(case_record& record, deployment_options options);
    /** Kills all processes and removes the temporary folder. */
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /** Starts all hosts but the spare ones. @return whether the program and free addresses were found */
    bool start_all();
    void start(std::size_t host);
    void kill(std::size_t host, int signal);
    /** @return whether the host's process runs; records its end once */
    bool runs(std::size_t host);
    std::size_t hosts() const { return m_options.disk_hosts + m_options.entry_hosts; }
    address at(std::size_t host, listener which) const;
    std::vector<address> all(listener which) const;
    std::string zone_of(std::size_t host) const { return m_options.zones[host % m_options.zones.size()]; }
    /** Sends a configuration until it is acknowledged. */
    bool configure(const std::string& document, milliseconds limit);
    /** Waits until every host answers a request at this path with success. */
    bool wait_until_served(const std::string& authority, const std::string& path, milliseconds limit);
    /** @return resident memory of a host's process in bytes; 0 if it is gone */
    std::size_t resident_bytes(std::size_t host) const;

private:
    std::string settings_of(std::size_t host) const;

    case_record& m_record;
    deployment_options m_options;
    std::string m_folder;
    std::string m_network; ///< the first three numbers of the hosts' addresses
    std::uint16_t m_first_port = 0;
    bool m_first_start = true;
    std::map<std::size_t, pid_t> m_processes;
};

/** One route of a configuration. */
struct route_options {
    std::string name;
    std::string prefix;
    std::string type = "safe";
    int timeout_ms = 8'000;
    int objective_ms = 800;
    std::vector<std::string> services; ///< more than one: shards
    std::string least = "0.89";
    int result_limit = 20;
};

/** @return a configuration document; all routes are those of one authority */
std::string configuration_of(int version, const std::string& authority,
                             const std::vector<route_options>& routes, int connections);

/** @return a request of a sound client, without a body */
std::string request_of(const std::string& method, const std::string& authority, const std::string& path,
                       const std::string& id, int deadline_ms, const std::string& more_fields = {});

} // namespace review
