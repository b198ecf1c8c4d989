#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the cases of this review: the platform, replicas, clients and the operator, on loopback. */
namespace stand {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using namespace std::chrono_literals;

using header_fields = std::vector<std::pair<std::string, std::string>>;

/** An HTTP request or response. */
struct message {
    std::string method;
    std::string path;
    int status = 0; ///< 0: no complete response arrived
    header_fields fields;
    std::string body;

    /** @return the value of a field, empty if it is absent */
    std::string field(std::string_view name) const;
    bool has_field(std::string_view name) const;
};

/** A connected socket with a read buffer. */
class connection {
public:
    explicit connection(int socket) : m_socket(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /** @return an open connection, or nullptr */
    static std::unique_ptr<connection> open(const std::string& address, milliseconds limit);

    bool write(std::string_view bytes) const;
    /** @return the next request; nothing at the end of the connection */
    std::optional<message> read_request(steady::time_point until);
    /** @return the next response; status 0 if none arrived in full */
    message read_response(steady::time_point until);
    /** @return whether the peer has closed the connection, without waiting */
    bool closed_by_peer() const;
    /** Closes the connection so that the peer sees a reset. */
    void reset();
    void shut_down() const;

private:
    bool read_more(steady::time_point until);
    bool read_head(message& read, steady::time_point until);
    bool read_body(message& read, bool until_close, steady::time_point until);

    int m_socket;
    std::string m_buffer;
};

/** Sends one request on a new connection. */
message call(const std::string& address, const message& request, milliseconds limit);

/** Writes `record.txt`; each line has the seconds since the start. */
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

/** What the deployment under test consists of. */
struct deployment_options {
    int disk_hosts = 3;
    int plain_hosts = 1;
    int zones = 3;
    int memory_mb = 260;
    std::string budget_window_s = "10";
};

/** Daemons of the project, started and restarted as the platform does it. */
class deployment {
public:
    deployment(deployment_options options, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    void start_all();
    /** Starts a host's process, with `bootstrap` false. */
    void start(int host);
    void signal(int host, int number);
    /** Kills a process and waits for its end; it is not started again by itself. */
    void kill(int host);
    /** Stops a process with SIGTERM, and after the grace with SIGKILL. @return its exit code or -signal */
    int terminate(int host, milliseconds grace);
    /** @return how often the process of a host ended by itself; each time it is started again */
    int own_ends(int host);
    bool runs(int host);
    int process_of(int host);

    int hosts() const { return m_options.disk_hosts + m_options.plain_hosts; }
    std::string ip(int host) const;
    std::string front(int host) const { return ip(host) + ":" + std::to_string(m_ports[0]); }
    std::string ready(int host) const { return ip(host) + ":" + std::to_string(m_ports[1]); }
    std::string control(int host) const { return ip(host) + ":" + std::to_string(m_ports[2]); }
    std::string directory(int host) const { return ip(host) + ":" + std::to_string(m_ports[3]); }
    std::string zone(int host) const { return "zone-" + std::to_string(host % m_options.zones); }

    /** Calls a node that serves control, and follows redirects twice. */
    message control_call(int first, const message& request, milliseconds limit = 1s);
    /** Sends a configuration to one node after the other until an answer is clear. @return its status */
    int submit(const std::string& document, milliseconds limit);
    /** Reads the configuration back, at one node. */
    message describe(int host);
    /** @return whether a host counts as ready */
    bool is_ready(int host);
    bool wait_until_ready(milliseconds limit);
    std::string folder() const { return m_folder; }
    std::string output(int host) const;

private:
    struct process {
        int id = 0;
        int own_ends = 0;
        bool wanted = false; ///< started again if it ends by itself
        std::optional<steady::time_point> again_at;
    };

    std::string settings_of(int host, bool first) const;
    void launch(int host, bool first);
    void watch();

    deployment_options m_options;
    record& m_log;
    std::string m_folder;
    std::vector<int> m_ports; ///< front, ready, control, directory, hosts, operators
    std::mutex m_mutex;
    std::vector<process> m_processes;
    std::atomic<bool> m_ending{false};
    std::thread m_watcher;
};

class replica;

/** Answers one request on a connection. @return whether the connection is kept */
using replica_handler = std::function<bool(replica&, const message&, connection&)>;

/** One run of a request at a replica. */
struct replica_run {
    std::string request;
    std::string replica;
    std::string path;
    std::string method;
    std::string body;
};

/** All runs at all replicas. */
class run_list {
public:
    void add(replica_run run);
    std::vector<replica_run> all();
    std::size_t count(const std::string& request);

private:
    std::mutex m_mutex;
    std::vector<replica_run> m_runs;
    std::map<std::string, std::size_t> m_counts;
};

/** A replica: it announces itself and serves requests, one thread a connection. */
class replica {
public:
    /** @param nodes  the nodes that it calls, in this order, from the first on; all, from a random one on, if
     * empty */
    replica(deployment& hosts, std::string id, std::string service, std::string zone, replica_handler handler,
            std::vector<int> nodes = {});
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    /** @return a sound answer with this replica's stamp and load */
    std::string answer(const message& request, const std::string& body, const std::string& status = "200 OK",
                       const std::string& more_fields = "") const;
    void set_state(const std::string& state);
    /**
     * Sends no more heartbeats, says in all answers that it leaves, and sends Deregister to the node that
     * takes its heartbeats.
     *
     * @param on_acknowledged  called with that node at once when the acknowledgement has arrived
     * @return whether it was acknowledged
     */
    bool deregister(const std::function<void(int)>& on_acknowledged);
    /** @return the node that takes its heartbeats */
    int registrar() const { return m_nodes[m_node]; }
    int slots() const { return 4; }

private:
    void accept_connections();
    void serve(const std::shared_ptr<connection>& peer);
    void announce();

    deployment& m_hosts;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    replica_handler m_handler;
    std::string m_address;
    std::string m_state = "ready";
    std::atomic<bool> m_leaving{false};
    std::vector<int> m_nodes;
    std::atomic<std::size_t> m_node{0};
    std::mutex m_calls; ///< held during a heartbeat or Deregister
    std::uint64_t m_born = 0;
    int m_listener = -1;
    std::atomic<bool> m_ending{false};
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_peers;
    std::vector<std::thread> m_serving;
    std::thread m_acceptor;
    std::thread m_announcer;
};

/** Sleeps, in steps, until a time or until a flag is set. */
void sleep_until(steady::time_point until, const std::atomic<bool>& stop);

/** A route of a configuration document. */
struct route_text {
    std::string name;
    std::string prefix;
    std::string type = "safe";
    int timeout_ms = 2'000;
    int target_ms = 200;
    int attempts = 2;
    std::vector<std::string> services; ///< one: `service`; more: `fanout-services`
};

std::string configuration_text(int version, const std::vector<route_text>& routes,
                               const std::vector<std::string>& services, int connections);

inline constexpr const char* authority = "search.example";

/** @return a new request id */
std::string new_request_id();

/** @return a client's request */
message client_request(const std::string& id, const std::string& method, const std::string& path,
                       const std::string& body, int deadline_ms);

/** Picks addresses as clients do: asks the directory and keeps the answer for its time. */
class address_book {
public:
    explicit address_book(deployment& hosts) : m_hosts(hosts) {}
    /** @return an address other than `failed`, if there is another */
    std::string pick(const std::string& failed = {});

private:
    deployment& m_hosts;
    std::mutex m_mutex;
    std::vector<std::string> m_addresses;
    steady::time_point m_until;
};

/** @return a number below a bound */
std::size_t random_below(std::size_t bound);
bool chance(double share);

/** @return whether the case is to play its disruption: the variable TROUBLE isn't 0 */
bool with_trouble();

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

} // namespace stand
