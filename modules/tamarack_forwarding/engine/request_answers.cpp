#include "request_answers.h"

#include "../admission/admission.h"
#include "../merging/record_merge.h"

#include <algorithm>
#include <utility>

namespace tamarack {

std::optional<duration> request_answers::until_coverable(const forwarding_run& run) const {
    std::vector<time_point> moments;
    for (const run_part& part : run.parts) {
        if (const auto at = m_dispatcher.available_at(*part.service)) {
            moments.push_back(*at);
        }
    }
    std::sort(moments.begin(), moments.end());
    for (std::size_t index = 0; index < moments.size(); ++index) {
        if (run.covers_enough(index + 1)) {
            return moments[index] - m_core.now;
        }
    }
    return std::nullopt;
}

void request_answers::refuse_unrouted(forward_request request, forward_outcome outcome, forward_reason reason,
                                      duration retry_after) {
    forward_answer answer;
    answer.number = request.number;
    answer.id = std::move(request.id);
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retry_after =
        retry_after == duration{0} ? retry_after : add_retry_jitter(retry_after, m_core.random);
    answer.trace.ticket = m_core.view ? m_core.view->ticket : ticket_number{};
    m_core.actions.emplace_back(deliver_answer{std::move(answer)});
}

/** Load pattern: a request that has crashed three targets is retried, and would crash one more each time. */
void request_answers::refuse_crashing(forwarding_run& run) {
    m_core.report_crash_step(crash_step::refused, run);
    forward_answer answer;
    answer.outcome = forward_outcome::not_run;
    answer.reason = forward_reason::crashes_targets;
    answer.retry_after = m_core.crashes.remaining_refusal(m_core.now, run.content->content_digest());
    finish(run, std::move(answer));
}

void request_answers::merged(forwarding_run& run) {
    forward_answer answer;
    answer.outcome = forward_outcome::merged;
    std::vector<const std::string*> bodies;
    for (const run_part& part : run.parts) {
        if (part.progress == part_progress::covered) {
            answer.tokens.push_back(part.token);
            bodies.push_back(&part.body);
        }
    }
    answer.missing = run.parts.size() - bodies.size();
    answer.reason = answer.missing == 0 ? forward_reason::none : forward_reason::timed_out;
    answer.body = merge_greatest(bodies, run.selected_route->result_limit);
    finish(run, std::move(answer));
}

void request_answers::reply(forwarding_run& run, target_reply reply) {
    forward_answer answer;
    answer.outcome = forward_outcome::replied;
    answer.reason =
        reply.verdict == target_verdict::completed ? forward_reason::none : forward_reason::targets_failed;
    answer.reply = std::move(reply);
    finish(run, std::move(answer));
}

void request_answers::failed(forwarding_run& run, forward_reason reason) {
    forward_answer answer;
    answer.outcome = run.may_have_run() ? forward_outcome::unknown : forward_outcome::not_run;
    answer.reason = reason;
    if (answer.outcome == forward_outcome::not_run) {
        const duration typical_time = std::max(run.timing->p90(), min_retry_after);
        const std::optional<duration> backoff_left = until_coverable(run);
        const duration capacity_in =
            std::max(backoff_left.value_or(m_core.options.no_target_retry), typical_time);
        const bool overloaded =
            reason == forward_reason::overloaded || reason == forward_reason::targets_refused;
        answer.retry_after =
            overloaded ? retry_delay(run, capacity_in) : add_retry_jitter(capacity_in, m_core.random);
    }
    finish(run, std::move(answer));
}

duration request_answers::retry_delay(const forwarding_run& run, duration capacity_in) {
    if (!m_core.uses(forwarding_mechanism::return_pacing)) {
        return add_retry_jitter(capacity_in, m_core.random);
    }
    constexpr int honoured_divisor = 3; // callers honour a delay up to a third of their remaining time
    engine_service& service = *run.parts.front().service;
    return_request refused;
    refused.capacity_in = capacity_in;
    refused.interval = m_dispatcher.completion_interval(service, run.timing->median());
    refused.useful_for = (run.times.answer_deadline - m_core.now) / honoured_divisor;
    return service.returns.next(m_core.now, refused, m_core.random);
}

void request_answers::finish(forwarding_run& run, forward_answer answer) {
    run.ended = true;
    m_core.deferred_requests.erase(run.request.number);
    for (run_part& part : run.parts) {
        part.queued = false;
        for (const running_exchange& abandoned : part.exchanges) {
            m_dispatcher.abandon(abandoned);
        }
        part.exchanges.clear();
    }
    answer.number = run.request.number;
    answer.id = run.request.id;
    run.trace.taken = m_core.now - run.arrived;
    run.trace.covered = run.count(part_progress::covered);
    run.trace.late = m_core.now > run.times.objective_at;
    if (run.trace.late) {
        ++m_core.statistics.late_answers;
    }
    answer.trace = std::move(run.trace);
    m_core.actions.emplace_back(deliver_answer{std::move(answer)});
    const auto found = m_core.runs.find(run.request.number);
    m_core.ended.push_back(std::move(found->second));
    m_core.runs.erase(found);
}

} // namespace tamarack
