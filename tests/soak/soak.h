#pragma once

#include "platform_integration/platform_deployment.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tamarack::soak {

/** Settings of one soak run. */
struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{10};
    std::size_t disk_hosts = 3;
    std::size_t entry_hosts = 3;
    std::size_t callers = 4;
    std::chrono::milliseconds think_time{0}; ///< pause between two requests of a caller
};

/** Results of a soak run. */
struct soak_result {
    unsigned answered = 0;
    unsigned refused = 0; ///< answered as not run
    unsigned failed = 0;  ///< no answer, or one that leaves open whether the request ran
    unsigned faults = 0;
    std::size_t max_extra = 0;                  ///< most extra exchanges that one service received
    std::map<std::string, unsigned> by_outcome; ///< number of requests by path, status and the host's reason
    std::vector<std::string> violations;
    std::vector<std::string> events; ///< with their times, printed for failed seeds
};

/**
 * Runs real daemons and injects random external faults: hosts are killed, stopped, paused and restarted, in
 * series and all at once; configurations change; replicas fail, become slow or lose their connections.
 *
 * Checks what callers and replicas observe: an answer belongs to its request and contains the shards of one
 * configuration; "not run" is true; a non-repeatable request runs at most once; an acknowledged configuration
 * is read back; service recovers when the faults end.
 */
class soak_run {
public:
    explicit soak_run(soak_options options);
    soak_result run();

private:
    struct host_state {
        bool running = true;
        bool paused = false;
    };

    void prepare();
    void inject_fault();
    void kill_random_host();
    void pause_random_host();
    void terminate_random_host();
    void change_configuration();
    void change_replica_behaviour();
    unsigned failure_status() const;
    void fail_most_replicas();
    void inject_path_faults();
    void pause_replica_reading();
    void restore_replicas();
    void restart_in_series();
    void restart_at_once();
    void change_configuration_in_series();
    void check_extra_load();
    std::vector<std::size_t> restartable_hosts() const;
    platform_integration::stand_in_replica& pick_replica();
    std::vector<std::string> services_of(const std::string& path) const;
    void restore_host();
    void call(std::size_t caller);
    void check_answer(const platform_integration::plain_response& response, const std::string& path);
    void check_recovery();
    void log_event(const std::string& event);
    void report_violation(const std::string& what);
    std::string document(unsigned version) const;
    std::size_t pick(std::size_t count);
    std::size_t stopped_disk_hosts() const;

    soak_options m_options;
    std::mt19937_64 m_random;
    platform_integration::platform_deployment m_deployment;
    std::vector<host_state> m_hosts;
    std::map<std::string, std::vector<platform_integration::stand_in_replica*>> m_replicas;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; ///< guards m_result, which the callers' threads write too
    soak_result m_result;
    std::atomic<unsigned> m_version{1};
    std::atomic<std::chrono::steady_clock::time_point>
        m_configuration_changed_at{}; ///< when the configuration last changed
    unsigned m_acknowledged = 0;
    std::chrono::steady_clock::time_point m_started;
};

} // namespace tamarack::soak
