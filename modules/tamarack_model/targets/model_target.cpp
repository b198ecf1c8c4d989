#include "model_target.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr duration crash_delay = 2ms;
constexpr duration shed_retry_after = 50ms;

} // namespace

std::string part_body(const request_id& request, const shard_id& shard, const index_version& version) {
    return request.value() + '|' + shard.value() + '|' + version.value();
}

model_target::model_target(event_queue& events, target_profile profile, const service_times& times,
                           std::uint64_t seed, target_callbacks callbacks)
    : m_events(events), m_profile(std::move(profile)), m_times(times), m_seed(seed),
      m_callbacks(std::move(callbacks)), m_random(seed ^ m_profile.sample_key) {}

bool model_target::on_open(const link_id& link) {
    if (!m_up) {
        return false;
    }
    m_links[link] = true;
    ++m_accepted;
    m_peaks.connections = std::max(m_peaks.connections, static_cast<std::uint32_t>(m_links.size()));
    return true;
}

void model_target::on_close(const link_id& link) {
    m_links.erase(link);
    std::erase_if(m_running, [&](const running_exchange& running) { return running.link == link; });
}

void model_target::on_exchange(const link_id& link, exchange request) {
    if (!m_up || !m_links.contains(link)) {
        m_callbacks.lost(link);
        return;
    }
    if (draining) {
        refuse(link, request, exchange_status::draining);
    } else if (!holds(request.version)) {
        refuse(link, request, exchange_status::version_gone);
    } else if (shedding) {
        refuse(link, request, exchange_status::shed);
    } else {
        run(link, std::move(request));
    }
}

bool model_target::holds(const index_version& version) const {
    return std::any_of(versions.begin(), versions.end(),
                       [&](const offered_version& offered) { return offered.version == version; });
}

void model_target::refuse(const link_id& link, const exchange& request, exchange_status status) {
    exchange_reply refusal;
    refusal.number = request.number;
    refusal.status = status;
    refusal.retry_after = shed_retry_after;
    m_callbacks.replied(link, std::move(refusal));
}

void model_target::run(const link_id& link, exchange request) {
    const std::uint64_t token = ++m_last_token;
    double factor = slowness;
    if (m_events.now() < m_started_at + cold_start_time) {
        factor *= cold_slowness;
    }
    const auto drawn =
        static_cast<double>(m_times.draw(m_seed, request.request, m_profile.sample_key).count());
    const duration needed{std::llround(drawn * factor)};
    const time_point deadline = request.deadline;
    const bool crashes = request.body->starts_with(poison);
    m_callbacks.ran(request);
    m_running.push_back({link, std::move(request), token});
    ++m_exchanges_run;
    m_peaks.running = std::max(m_peaks.running, running());
    if (crashes) {
        m_events.after(crash_delay, [this, token] {
            if (is_running(token)) {
                m_callbacks.crashed_by(*take(token).request.body);
                crash();
            }
        });
        return;
    }
    if (m_events.now() + needed <= deadline) {
        m_events.after(needed, [this, token] { finish(token); });
    } else {
        m_events.at(deadline, [this, token] { stop(token); });
    }
}

bool model_target::is_running(std::uint64_t token) const {
    return std::any_of(m_running.begin(), m_running.end(),
                       [token](const running_exchange& running) { return running.token == token; });
}

model_target::running_exchange model_target::take(std::uint64_t token) {
    const auto found =
        std::find_if(m_running.begin(), m_running.end(),
                     [token](const running_exchange& running) { return running.token == token; });
    running_exchange taken = std::move(*found);
    m_running.erase(found);
    return taken;
}

void model_target::finish(std::uint64_t token) {
    if (is_running(token)) {
        const bool failed = m_random.chance(faults.failed);
        reply(take(token), failed ? exchange_status::failed : exchange_status::completed);
    }
}

void model_target::stop(std::uint64_t token) {
    if (is_running(token)) {
        reply(take(token), exchange_status::cancelled);
    }
}

void model_target::on_cancel(std::size_t host, exchange_number number) {
    for (const auto& running : m_running) {
        if (running.link.host == host && running.request.number == number) {
            reply(take(running.token), exchange_status::cancelled);
            return;
        }
    }
}

void model_target::reply(const running_exchange& ended, exchange_status status) {
    exchange_reply wanted;
    wanted.number = ended.request.number;
    wanted.status = status;
    wanted.shard = m_profile.shard;
    wanted.version = ended.request.version;
    if (status == exchange_status::completed) {
        wanted.body = part_body(ended.request.caller_id, m_profile.shard, ended.request.version);
        inject_reply_faults(ended.link, wanted);
    }
    m_callbacks.replied(ended.link, std::move(wanted));
}

void model_target::inject_reply_faults(const link_id& link, exchange_reply& reply) {
    const exchange_reply correct = reply;
    if (m_random.chance(faults.duplicate)) {
        m_callbacks.replied(link, reply);
    }
    if (m_random.chance(faults.wrong_exchange) && m_last_reply.number != 0) {
        reply = m_last_reply;
    }
    if (m_random.chance(faults.truncated)) {
        reply.status = exchange_status::malformed;
        reply.body.resize(reply.body.size() / 2);
    }
    if (m_random.chance(faults.wrong_number)) {
        ++reply.number;
    }
    if (m_random.chance(faults.wrong_version)) {
        reply.version = index_version{"another"};
        reply.body = "of another version";
    }
    m_last_reply = correct;
}

void model_target::crash() {
    m_up = false;
    m_running.clear();
    const auto links = std::move(m_links);
    m_links.clear();
    for (const auto& [link, open] : links) {
        m_callbacks.lost(link);
    }
}

void model_target::start() {
    m_up = true;
    m_started_at = m_events.now();
    ++m_incarnation.value;
}

} // namespace tamarack
