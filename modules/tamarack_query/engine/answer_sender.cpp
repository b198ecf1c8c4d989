#include "answer_sender.h"

#include "../run/answer_builder.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double latency_weight = 0.05;
constexpr duration min_retry_after = 20ms;
constexpr duration max_retry_after = 5s;

} // namespace

duration expected_wait(const service_state& service, std::size_t queued) {
    const double turns = static_cast<double>(queued) / static_cast<double>(service.running_limit);
    return duration{std::llround(turns * service.typical_latency_us)};
}

void answer_sender::finish(query_run& run, refusal_reason reason) {
    const double coverage = run.coverage();
    if (coverage == 0.0 || coverage < run.least_coverage()) {
        refuse(run, outcome_without_answer(run), reason);
        return;
    }
    observe_latency(run);
    send(run, build_answer(run, m_core.ticket));
}

void answer_sender::refuse(query_run& run, request_outcome outcome, refusal_reason reason) {
    send(run, build_refusal(run, m_core.ticket, outcome, reason, retry_after(run.service)));
}

void answer_sender::send(query_run& run, query_answer answer) {
    send_to_caller(run, std::move(answer));
    abandon_attempts(run);
    remove(run);
}

void answer_sender::abandon_attempts(query_run& run) {
    for (auto& part : run.shards) {
        for (const auto& running : part.attempts) {
            m_dispatcher.abandon(running);
        }
        part.attempts.clear();
    }
}

void answer_sender::send_and_keep_running(query_run& run, query_answer answer) {
    send_to_caller(run, std::move(answer));
}

void answer_sender::remove(query_run& run) {
    while (run.exposed > 0) {
        m_core.end_exposure(run);
    }
    const auto found = m_core.runs.find(run.request.number);
    require_invariant(found != m_core.runs.end(), "a request is removed only once");
    m_core.answered_runs.push_back(std::move(found->second));
    m_core.runs.erase(found);
}

void answer_sender::send_to_caller(query_run& run, query_answer answer) {
    require_invariant(!run.answered, "a request is answered once");
    run.answered = true;
    --m_core.unanswered;
    if (run.started) {
        --run.service->running;
        m_core.freed_services.push_back(run.service);
    }
    m_core.out.emplace_back(answer_caller{std::move(answer)});
}

void answer_sender::observe_latency(const query_run& run) const {
    const auto latency = static_cast<double>((m_core.now - run.started_at).count());
    double& typical = run.service->typical_latency_us;
    typical = typical == 0.0 ? latency : typical + latency_weight * (latency - typical);
}

request_outcome answer_sender::outcome_without_answer(const query_run& run) {
    return run.possibly_run == 0 ? request_outcome::not_run : request_outcome::unknown;
}

duration answer_sender::retry_after(const service_state* service) const {
    if (service == nullptr) {
        return max_retry_after;
    }
    const duration wait = expected_wait(*service, service->queue.size());
    return std::clamp(wait, min_retry_after, max_retry_after);
}

} // namespace tamarack
