#pragma once

#include "sockets.h"

#include <atomic>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/** Exit codes of a case. */
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/** @return whether the case runs with its disruption: always, unless the variable TROUBLE is 0 */
bool has_trouble();

/** Writes what was sent, answered and run to record.txt. Used by several threads. */
class record {
public:
    explicit record(const std::string& path);

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

/** A whole response. */
struct response {
    message_head head;
    std::string body;
};

class replica;

/** Runs daemons as the platform starts them, each on a loopback address of its own. */
class deployment {
public:
    /**
     * @param log    where starts and ends of processes are written
     * @param disks  hosts with a data folder; the first three are the seeds
     * @param bare   hosts without one
     */
    deployment(record& log, std::size_t disks, std::size_t bare);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    std::size_t hosts() const { return m_disks + m_bare; }
    /** Starts a process; the platform sets `bootstrap` only at the first start of all. */
    void start(std::size_t host, bool bootstrap);
    void start_all();
    /** Sends a signal to a process of this deployment. */
    void signal(std::size_t host, int number);
    /** Kills a process and waits for its end. */
    void kill_and_wait(std::size_t host);
    /** @return how processes ended that nothing here had ended, one line each */
    std::vector<std::string> unexpected_ends();
    /** Erases the data folder of a stopped host. */
    void erase_disk(std::size_t host);
    /** @return the peak resident memory of a process in MiB, 0 if unknown */
    std::size_t peak_memory_mib(std::size_t host) const;
    /** @return the last lines that a process wrote */
    std::string last_output(std::size_t host) const;

    socket_address callers(std::size_t host) const { return {ip_of(host), m_ports[0]}; }
    socket_address readiness(std::size_t host) const { return {ip_of(host), m_ports[1]}; }
    socket_address control(std::size_t host) const { return {ip_of(host), m_ports[2]}; }

    /** Sends an operator's or a replica's call to a host and follows its redirects. */
    std::optional<response> control_call(std::size_t host, const std::string& method, const std::string& path,
                                         const std::string& body,
                                         std::chrono::milliseconds timeout = std::chrono::seconds{1});
    /** Sends a configuration to one host after the other until it is acknowledged or refused. */
    int submit(const std::string& document, std::chrono::seconds limit = std::chrono::seconds{20});
    /** Waits until a host says that it is ready. */
    bool await_ready(std::size_t host, std::chrono::seconds limit = std::chrono::seconds{20}) const;

    /** Starts all hosts and replicas, and waits until they serve the configuration. @return whether they do
     */
    bool start_serving(const std::vector<replica*>& replicas, const std::string& document);

private:
    std::string ip_of(std::size_t host) const;
    std::string data_folder(std::size_t host) const;
    std::string settings_of(std::size_t host, bool bootstrap) const;

    record& m_log;
    std::size_t m_disks;
    std::size_t m_bare;
    std::string m_folder;
    std::string m_network; ///< the first three numbers of all addresses
    std::vector<unsigned short> m_ports;
    std::map<std::size_t, pid_t> m_processes;
};

/** A stand-in replica: it registers, and serves each connection on a thread of its own. */
class replica {
public:
    /** Serves one connection until it ends. */
    using connection_handler = std::function<void(replica&, http_stream&)>;

    replica(deployment& owner, std::string id, std::string service, connection_handler handler,
            const listen_options& options = {});
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    std::string address() const { return m_address.text(); }
    bool ending() const { return m_ending; }
    void start_heartbeats();

private:
    void accept_connections();
    void send_heartbeats();

    deployment& m_owner;
    std::string m_id;
    std::string m_service;
    connection_handler m_handler;
    socket_handle m_listener;
    socket_address m_address;
    std::atomic<bool> m_ending{false};
    std::mutex m_mutex; ///< guards the open connections and their threads
    std::vector<std::weak_ptr<http_stream>> m_open;
    std::vector<std::thread> m_serving;
    std::thread m_accepting;
    std::thread m_beating;
};

/** Runs each caller on a thread of its own, and waits for all of them. */
void run_callers(int callers, const std::function<void(int)>& call);

/** The main function of a case: opens the record in the folder that the arguments name. @return exit code */
int run_program(int count, char** arguments, int (*run_case)(record&));

/** @return a replica's response with a length */
std::string write_response(const std::string& status, const std::vector<std::string>& fields,
                           const std::string& body);

/** Sends a caller's request on a kept connection, which it opens if there is none or it has ended. */
std::optional<response> exchange(std::unique_ptr<http_stream>& connection, const socket_address& address,
                                 const std::string& request, std::chrono::milliseconds timeout);

/** @return a caller's request */
std::string write_request(const std::string& method, const std::string& host, const std::string& path,
                          const std::string& id, int deadline_ms, const std::string& body);

} // namespace review
