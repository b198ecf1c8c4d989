#pragma once

#include "support/checks/eventually.h"
#include "support/net/http_types.h"
#include "support/net/port_reservation.h"
#include "support/process/process_group.h"

#include <json/value.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace tamarack::integration {

using testing_support::eventually;

/** Topology and settings of a test cluster. */
struct cluster_options {
    std::vector<std::string> control_hosts{"host-a", "host-b", "host-c"}; ///< hosts with the role "both"
    std::vector<std::string> entry_hosts;
    std::vector<std::string> shards{"s1", "s2"};
    int replicas = 2;
    std::vector<std::string> target_arguments;
    std::string more_settings;  ///< appended to each settings file
    bool through_proxy = false; ///< sends messages between control hosts through the fault proxy
};

/** Exit code and output of the command-line tool. */
struct tool_result {
    int exit_code = -1;
    std::string output;
    std::string errors;
};

/** Runs real daemons, stand-in targets and, optionally, a fault proxy on the loopback interface. */
class cluster {
public:
    explicit cluster(cluster_options options = {});

    /** Starts hosts and targets, bootstraps, submits ticket 1 and waits until queries are answered. */
    void start_serving();

    void start_hosts();
    void bootstrap();
    void start_targets();
    void start_host(const std::string& host);
    void start_target(const std::string& shard, int replica);

    /** Waits until a host answers a query with all shards. */
    void wait_until_serving(const std::string& host);

    /** @return the JSON of a ticket that defines the service "parts" with all shards */
    std::string ticket_text(unsigned number) const;

    std::string callers(const std::string& host) const { return m_processes.address(host, "callers"); }
    std::string operators(const std::string& host) const { return m_processes.address(host, "operators"); }
    std::vector<std::string> hosts() const;
    static std::string target_name(const std::string& shard, int replica);

    /** Runs the command-line tool with the operators' and callers' addresses of all hosts added. */
    tool_result run_tool(std::vector<std::string> arguments);

    /** Sends a query for the service "parts". */
    std::optional<testing_support::plain_response> query(const std::string& host, const std::string& body,
                                                         const testing_support::header_fields& fields = {},
                                                         const std::string& shard = {}) const;

    /** Sends a query for the service "parts" to a callers' address. */
    static std::optional<testing_support::plain_response>
    query_at(const std::string& address, const std::string& body,
             const testing_support::header_fields& fields = {}, const std::string& shard = {});

    /** @return the JSON body of an operators' path, or null if the request does not succeed */
    Json::Value operators_get(const std::string& host, const std::string& path) const;

    /** @return a target's record of what it ran */
    Json::Value target_record(const std::string& target) const;

    /** Changes a target's behaviour. */
    void set_target(const std::string& target, const Json::Value& changes) const;

    /** Changes the faults of the route from one control host to another. */
    void set_fault(const std::string& from, const std::string& to, const Json::Value& faults) const;

    /** Isolates a control host from all others in both directions, or reconnects it if `cut` is false. */
    void isolate(const std::string& host, bool cut) const;

    testing_support::process_group& processes() { return m_processes; }

    /** @return the path of a host's settings file */
    std::string settings_file(const std::string& host) const;

private:
    void write_settings(const std::string& host, const std::string& role);
    void start_proxy();
    std::string seeds_for(const std::string& host) const;
    std::string own_address(const std::string& host) const;
    bool is_control(const std::string& host) const;

    cluster_options m_options;
    testing_support::process_group m_processes;
    std::map<std::string, testing_support::port_reservation> m_ports;
    unsigned m_tool_runs = 0;
};

/** @return the parsed JSON text, or null if it is invalid */
Json::Value to_json(const std::string& text);

/** @return the value as JSON on one line */
std::string to_text(const Json::Value& value);

} // namespace tamarack::integration
