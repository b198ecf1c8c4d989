#include "request_log.h"

#include <tamarack_telemetry/tamarack_telemetry.h>

#include <algorithm>

namespace tamarack {

namespace {

/** Requests whose way is told whole; a request over ten shards takes some thirty lines. */
constexpr double whole_per_second = 4.0;
constexpr double whole_burst = 20.0;
/** One request that ended well in this many is told. */
constexpr std::uint64_t good_sample = 200;
constexpr std::uint64_t good_whole_sample = 2'000;

std::string milliseconds(duration value) {
    const std::int64_t tenths = value.count() / 100;
    std::string text = std::to_string(tenths / 10);
    return text + "." + std::to_string(std::abs(tenths % 10));
}

bool ended_well(const forward_answer& answer) {
    const bool replied =
        answer.outcome == forward_outcome::replied || answer.outcome == forward_outcome::merged;
    return replied && answer.reason == forward_reason::none && answer.missing == 0 && !answer.trace.late;
}

void write_step(const forward_answer& answer, const trace_entry& entry) {
    log_state_change(
        log_level::info, "request_step", answer.trace.ticket,
        {{"request", answer.id.value()},
         {"after_ms", milliseconds(entry.after)},
         {"step", std::string{to_name(entry.step)}},
         {"service", entry.service.value()},
         {"target", entry.target.value()},
         {"result", entry.result},
         {"load", std::to_string(entry.load)},
         {"load_age_ms", entry.load_age < duration{0} ? std::string{"-"} : milliseconds(entry.load_age)},
         {"candidates", std::to_string(entry.candidates)}});
}

void write_end(const forward_answer& answer) {
    const request_trace& trace = answer.trace;
    log_state_change(log_level::info, "request_ended", trace.ticket,
                     {{"request", answer.id.value()},
                      {"route", trace.route},
                      {"outcome", std::string{to_name(answer.outcome)}},
                      {"reason", std::string{to_name(answer.reason)}},
                      {"taken_ms", milliseconds(trace.taken)},
                      {"objective_left_ms", milliseconds(trace.objective_left)},
                      {"late", trace.late ? "true" : "false"},
                      {"shards", std::to_string(trace.shards)},
                      {"covered", std::to_string(trace.covered)},
                      {"hedges", std::to_string(trace.hedges)},
                      {"retries", std::to_string(trace.retries)},
                      {"retry_after_ms", milliseconds(answer.retry_after)}});
}

} // namespace

bool request_log::take_whole(time_point now) {
    const double passed = std::chrono::duration<double>(now - m_filled_at).count();
    m_tokens = std::min(whole_burst, m_tokens + passed * whole_per_second);
    m_filled_at = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void request_log::write(time_point now, const forward_answer& answer) {
    const bool good = ended_well(answer);
    m_good += good ? 1 : 0;
    if (good && m_good % good_sample != 0) {
        return;
    }
    const bool whole = good ? m_good % good_whole_sample == 0 : take_whole(now);
    if (whole) {
        for (const trace_entry& entry : answer.trace.entries) {
            write_step(answer, entry);
        }
    }
    write_end(answer);
}

} // namespace tamarack
