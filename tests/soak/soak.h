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

/** What one run does. */
struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::seconds length{10};
    std::size_t disk_hosts = 3;
    std::size_t entry_hosts = 3;
    std::size_t callers = 4;
    std::chrono::milliseconds pause_of_callers{0}; ///< between two requests of one
};

/** What a run counted. */
struct soak_result {
    unsigned answered = 0;
    unsigned refused = 0; ///< said not to have run
    unsigned failed = 0;  ///< no answer, or one that promises nothing
    unsigned faults = 0;
    std::size_t max_extra = 0;              ///< repeats that one service got
    std::map<std::string, unsigned> by_end; ///< how requests ended: path, status and what the host said of it
    std::vector<std::string> violations;
    std::vector<std::string> events; ///< with their times, for a failed seed
};

/**
 * Real daemons under random faults from outside: processes killed, stopped, paused and started in series and
 * at once, configurations, replicas that fail and turn slow.
 *
 * Checks from what callers and replicas see: an answer belongs to its request and holds one configuration's
 * shards; "not run" is true; a request that must not repeat runs once; what was acknowledged is read back;
 * service returns when the faults end.
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
    void inject();
    void kill_one();
    void pause_one();
    void terminate_one();
    void change_configuration();
    void disturb_replica();
    void fail_most_replicas();
    void inject_path_faults();
    void stop_a_replica_reading();
    void mend_replicas();
    void restart_in_series();
    void restart_at_once();
    void change_configuration_in_series();
    void check_extra_load();
    std::vector<std::size_t> restartable_hosts() const;
    platform_integration::stand_in_replica& pick_replica();
    std::vector<std::string> services_of(const std::string& path) const;
    void mend();
    void call(std::size_t caller);
    void check_answer(const platform_integration::plain_response& response, const std::string& path);
    void check_end();
    void note(const std::string& event);
    void violate(const std::string& what);
    std::string document(unsigned version) const;
    std::size_t pick(std::size_t count);
    std::size_t stopped_disk_hosts() const;

    soak_options m_options;
    std::mt19937_64 m_random;
    platform_integration::platform_deployment m_deployment;
    std::vector<host_state> m_hosts;
    std::map<std::string, std::vector<platform_integration::stand_in_replica*>> m_replicas;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; ///< of the result: callers run on threads of their own
    soak_result m_result;
    std::atomic<unsigned> m_version{1};
    std::atomic<std::chrono::steady_clock::time_point> m_changed{}; ///< when the configuration last changed
    unsigned m_acknowledged = 0;
    std::chrono::steady_clock::time_point m_started;
};

} // namespace tamarack::soak
