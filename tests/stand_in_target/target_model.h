#pragma once

#include "target_options.h"

#include <tamarack_base/tamarack_base.h>

#include <json/value.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tamarack::stand_in {

/** One exchange as received from a host. */
struct run_request {
    std::string exchange;
    std::string request;
    std::string service;
    std::string shard;
    std::string version;
    std::string key;                       ///< idempotency key of a non-idempotent request, else empty
    std::chrono::milliseconds remaining{}; ///< time to its deadline; zero means no deadline
    std::string body;
};

/** Result of an exchange, named as in the field Exchange-Status. */
enum class run_status {
    completed,
    shed,
    draining,
    version_gone,
    cancelled,
    failed,
};

} // namespace tamarack::stand_in

template <>
struct tamarack::name_table<tamarack::stand_in::run_status> {
    static constexpr std::array<std::pair<stand_in::run_status, std::string_view>, 6> entries{{
        {stand_in::run_status::completed, "completed"},
        {stand_in::run_status::shed, "shed"},
        {stand_in::run_status::draining, "draining"},
        {stand_in::run_status::version_gone, "version_gone"},
        {stand_in::run_status::cancelled, "cancelled"},
        {stand_in::run_status::failed, "failed"},
    }};
};

namespace tamarack::stand_in {

/** The answer to one exchange. */
struct run_result {
    run_status status = run_status::completed;
    std::string body;
};

/** Functions through which the model uses its environment. */
struct model_hooks {
    std::function<void(std::chrono::microseconds, std::function<void()>)> run_after;
    std::function<void()> crash;
    std::function<void()> state_changed; ///< called when the target must be announced again
};

/** Models the slots, queue, versions and failures of a stand-in target, and records what it ran. */
class target_model {
public:
    using answer = std::function<void(run_result)>;

    target_model(target_options options, model_hooks hooks);

    /** Handles an exchange that arrived; calls `reply` once. */
    void on_run(run_request order, answer reply);

    /** Cancels an exchange if it is running or queued. */
    void on_cancel(const std::string& exchange);

    /** Refuses new exchanges from now on. */
    void drain();

    /** Changes the target's behaviour. @return an error message, or an empty string */
    std::string change(const Json::Value& changes);

    /** @return "starting", "ready" or "draining" */
    std::string state() const;

    /** @return whether nothing is running or queued */
    bool idle() const { return m_running.empty() && m_queue.empty(); }

    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_queue.size(); }
    const target_options& options() const { return m_options; }

    /** @return the reported running and queued counts: delayed, or overridden by a test */
    std::pair<std::size_t, std::size_t> reported_load() const;

    /** @return what the target ran, as JSON for tests */
    Json::Value record() const;

private:
    struct job {
        run_request order;
        answer reply;
        bool done = false;
    };
    using job_pointer = std::shared_ptr<job>;

    void start(const job_pointer& started);
    void start_next();
    void finish(const job_pointer& finished, run_status status);
    void record_load();
    std::chrono::microseconds draw_service_time();
    std::string part_body(const run_request& order) const;
    bool holds(const std::string& version) const;

    target_options m_options;
    model_hooks m_hooks;
    random_source m_random;
    bool m_starting = false;
    bool m_draining = false;
    std::deque<job_pointer> m_queue;
    std::map<std::string, job_pointer> m_running;
    std::pair<std::size_t, std::size_t> m_delayed_load{};
    std::optional<std::size_t> m_load_override;
    std::map<std::string, unsigned> m_runs_by_key;
    std::map<std::string, unsigned> m_runs_by_request;
    std::map<std::string, unsigned> m_results;
    std::size_t m_max_running = 0;
};

} // namespace tamarack::stand_in
