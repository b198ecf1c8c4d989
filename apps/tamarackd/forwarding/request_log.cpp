#include "request_log.h"

#include <tamarack_telemetry/tamarack_telemetry.h>

namespace tamarack {

namespace {

std::string milliseconds(duration value) {
    const std::int64_t tenths = value.count() / 100;
    std::string text = std::to_string(tenths / 10);
    return text + "." + std::to_string(std::abs(tenths % 10));
}

void log_step(const forward_answer& answer, const trace_entry& entry) {
    log_state_change(
        log_level::info, "request_step", answer.trace.ticket,
        {{"request", answer.id.value()},
         {"after_ms", milliseconds(entry.after)},
         {"step", std::string{to_name(entry.step)}},
         {"service", entry.service.value()},
         {"target", entry.target.value()},
         {"connection", std::to_string(entry.connection)},
         {"result", entry.result},
         {"load", std::to_string(entry.load)},
         {"load_age_ms", entry.load_age < duration{0} ? std::string{"-"} : milliseconds(entry.load_age)},
         {"candidates", std::to_string(entry.candidates)}});
}

void log_outcome(const forward_answer& answer) {
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

void request_log::write(time_point now, const forward_answer& answer) {
    const log_detail detail = m_sampling.on_end(now, answer);
    if (detail == log_detail::none) {
        return;
    }
    if (detail == log_detail::all_steps) {
        for (const trace_entry& entry : answer.trace.entries) {
            log_step(answer, entry);
        }
    }
    log_outcome(answer);
}

} // namespace tamarack
