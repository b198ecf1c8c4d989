#include "target_model.h"

#include <algorithm>
#include <utility>

namespace tamarack::stand_in {

namespace {

constexpr double min_share = 0.8;
constexpr double share_range = 0.4;

std::chrono::microseconds microseconds_of(const Json::Value& milliseconds) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>{milliseconds.asDouble()});
}

} // namespace

target_model::target_model(target_options options, model_hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)), m_random(m_options.seed) {
    if (m_options.start_time > std::chrono::milliseconds{}) {
        m_starting = true;
        m_hooks.run_after(m_options.start_time, [this] {
            m_starting = false;
            m_hooks.state_changed();
        });
    }
}

void target_model::on_run(run_request order, answer reply) {
    const auto refuse = [&](run_status status) {
        ++m_results[std::string{to_name(status)}];
        reply({status, {}});
    };
    if (order.service != m_options.service || order.shard != m_options.shard || order.exchange.empty()) {
        return refuse(run_status::failed);
    }
    if (m_draining) {
        return refuse(run_status::draining);
    }
    if (!holds(order.version)) {
        return refuse(run_status::version_gone);
    }
    const bool has_slot = m_running.size() < m_options.slots;
    if (m_starting || (!has_slot && m_queue.size() >= m_options.shed_above)) {
        return refuse(run_status::shed);
    }
    const auto arrived = std::make_shared<job>(job{std::move(order), std::move(reply)});
    if (arrived->order.remaining > std::chrono::milliseconds{}) {
        m_hooks.run_after(arrived->order.remaining,
                          [this, arrived] { finish(arrived, run_status::cancelled); });
    }
    if (has_slot) {
        start(arrived);
    } else {
        m_queue.push_back(arrived);
    }
    record_load();
}

void target_model::start(const job_pointer& started) {
    const run_request& order = started->order;
    ++m_runs_by_request[order.request];
    if (!order.key.empty()) {
        ++m_runs_by_key[order.key];
    }
    if (!m_options.crash_on.empty() && order.body.find(m_options.crash_on) != std::string::npos) {
        m_hooks.crash();
        return;
    }
    m_running[order.exchange] = started;
    m_max_running = std::max(m_max_running, m_running.size());
    m_hooks.run_after(draw_service_time(), [this, started] { finish(started, run_status::completed); });
}

void target_model::start_next() {
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
        const job_pointer next = m_queue.front();
        m_queue.pop_front();
        if (!next->done) {
            start(next);
        }
    }
}

void target_model::finish(const job_pointer& finished, run_status status) {
    if (finished->done) {
        return;
    }
    finished->done = true;
    m_running.erase(finished->order.exchange);
    std::erase(m_queue, finished);
    ++m_results[std::string{to_name(status)}];
    start_next();
    record_load();
    finished->reply({status, status == run_status::completed ? part_body(finished->order) : std::string{}});
}

void target_model::on_cancel(const std::string& exchange) {
    if (const auto found = m_running.find(exchange); found != m_running.end()) {
        finish(job_pointer{found->second}, run_status::cancelled);
        return;
    }
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const job_pointer& waiting) {
        return waiting->order.exchange == exchange;
    });
    if (queued != m_queue.end()) {
        finish(job_pointer{*queued}, run_status::cancelled);
    }
}

void target_model::drain() {
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_hooks.state_changed();
}

std::string target_model::change(const Json::Value& changes) {
    if (!changes.isObject()) {
        return "not a JSON object";
    }
    if (changes.isMember("versions")) {
        std::vector<held_version> versions;
        for (const Json::Value& text : changes["versions"]) {
            const auto version = parse_version(text.asString());
            if (!version) {
                return "versions must have the form version@map";
            }
            versions.push_back(*version);
        }
        m_options.versions = std::move(versions);
    }
    if (changes.isMember("service_ms")) {
        m_options.service_time = microseconds_of(changes["service_ms"]);
    }
    if (changes.isMember("straggler_share")) {
        m_options.straggler_share = changes["straggler_share"].asDouble();
    }
    if (changes.isMember("crash_on")) {
        m_options.crash_on = changes["crash_on"].asString();
    }
    if (changes.isMember("reported_load")) {
        m_load_override = changes["reported_load"].asUInt();
    }
    if (changes["drain"].asBool()) {
        drain();
    }
    m_hooks.state_changed();
    return {};
}

std::string target_model::state() const {
    if (m_draining) {
        return "draining";
    }
    return m_starting ? "starting" : "ready";
}

void target_model::record_load() {
    const std::pair<std::size_t, std::size_t> load{m_running.size(), m_queue.size()};
    if (m_options.report_lag == std::chrono::milliseconds{}) {
        m_delayed_load = load;
        return;
    }
    m_hooks.run_after(m_options.report_lag, [this, load] { m_delayed_load = load; });
}

std::pair<std::size_t, std::size_t> target_model::reported_load() const {
    if (m_load_override) {
        return {*m_load_override, 0};
    }
    return m_delayed_load;
}

std::chrono::microseconds target_model::draw_service_time() {
    const double share = min_share + share_range * m_random.unit();
    const double factor = m_random.chance(m_options.straggler_share) ? m_options.straggler_factor : 1.0;
    const double microseconds = static_cast<double>(m_options.service_time.count()) * share * factor;
    return std::chrono::microseconds{static_cast<std::int64_t>(microseconds)};
}

std::string target_model::part_body(const run_request& order) const {
    return m_options.shard + "/" + order.version + ": " + order.body;
}

bool target_model::holds(const std::string& version) const {
    return std::any_of(m_options.versions.begin(), m_options.versions.end(),
                       [&](const held_version& held) { return held.version == version; });
}

Json::Value target_model::record() const {
    const auto object_of = [](const std::map<std::string, unsigned>& counts) {
        Json::Value object{Json::objectValue};
        for (const auto& [name, count] : counts) {
            object[name] = count;
        }
        return object;
    };
    Json::Value record{Json::objectValue};
    record["target"] = m_options.name;
    record["state"] = state();
    record["keys"] = object_of(m_runs_by_key);
    record["requests"] = object_of(m_runs_by_request);
    record["results"] = object_of(m_results);
    record["running"] = static_cast<Json::UInt>(m_running.size());
    record["queued"] = static_cast<Json::UInt>(m_queue.size());
    record["most_running"] = static_cast<Json::UInt>(m_max_running);
    return record;
}

} // namespace tamarack::stand_in
