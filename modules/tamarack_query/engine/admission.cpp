#include "admission.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr duration queue_wait_target = 20ms;

duration typical_latency(const service_state& service) {
    return duration{std::llround(service.typical_latency_us)};
}

} // namespace

void admission::on_arrival(query_run& run) {
    const refusal_reason refused = reason_to_refuse(run);
    if (refused != refusal_reason::none) {
        m_answer_sender.refuse(run, request_outcome::not_run, refused);
        return;
    }
    service_state& service = *run.service;
    if (service.queue.empty() && service.running < service.running_limit) {
        start(run);
        return;
    }
    queue_or_refuse(run);
}

refusal_reason admission::reason_to_refuse(const query_run& run) {
    if (m_core.draining) {
        return refusal_reason::draining;
    }
    if (m_core.now >= m_core.lease_ends) {
        return refusal_reason::no_lease;
    }
    if (run.service == nullptr) {
        return refusal_reason::unknown_service;
    }
    if (m_core.now >= run.answer_deadline) {
        return refusal_reason::deadline_passed;
    }
    return is_quarantined(run) ? refusal_reason::quarantined : refusal_reason::none;
}

bool admission::is_quarantined(const query_run& run) const {
    if (!m_core.options.protections.quarantine) {
        return false;
    }
    if (m_core.crashes.is_suspected(run.content.hash)) {
        return true;
    }
    return !m_core.quarantined.empty() &&
           m_core.quarantined.contains(m_core.now, quarantine_digest(run.request.service, *run.body));
}

void admission::queue_or_refuse(query_run& run) {
    service_state& service = *run.service;
    admission_inputs inputs;
    inputs.remaining = run.answer_deadline - m_core.now;
    inputs.queued = service.queue.size();
    inputs.queue_limit = service.definition.budgets.queued_requests;
    inputs.expected_wait = expected_wait(service, service.queue.size() + 1);
    inputs.expected_latency = typical_latency(service);
    inputs.objective = service.definition.objectives.latency;
    inputs.prefers_latency = service.definition.preference == service_preference::latency;
    switch (m_core.policies.admit(inputs)) {
    case admission_verdict::queue:
        service.queue.push_back(run.request.number);
        m_core.wake(run, run.answer_deadline);
        return;
    case admission_verdict::queue_full:
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::queue_full);
        return;
    case admission_verdict::cannot_finish:
        m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::cannot_finish);
        return;
    }
}

void admission::start(query_run& run) {
    run.started = true;
    run.started_at = m_core.now;
    ++run.service->running;
    if (run.runs_at_most_once()) {
        m_at_most_once_flow.start(run);
    } else {
        m_fan_out.start(run);
    }
}

void admission::start_queued() {
    while (!m_core.freed_services.empty()) {
        service_state& service = *m_core.freed_services.back();
        m_core.freed_services.pop_back();
        start_queued(service);
    }
}

void admission::start_queued(service_state& service) {
    while (!service.queue.empty() && service.running < service.running_limit) {
        query_run* run = m_core.find_run(take_next(service));
        require_invariant(run != nullptr && !run->started, "a queued request exists and has not started");
        if (m_core.now >= m_core.lease_ends) {
            m_answer_sender.refuse(*run, request_outcome::not_run, refusal_reason::no_lease);
        } else if (is_quarantined(*run)) {
            m_answer_sender.refuse(*run, request_outcome::not_run, refusal_reason::quarantined);
        } else if (should_drop(service, *run)) {
            m_answer_sender.refuse(*run, request_outcome::not_run, refusal_reason::cannot_finish);
        } else {
            start(*run);
        }
    }
}

request_number admission::take_next(service_state& service) const {
    const query_run& oldest = *m_core.runs.at(service.queue.front());
    const bool delayed = m_core.now - oldest.arrived_at > queue_wait_target;
    request_number taken = 0;
    if (m_core.policies.newest_first_under_load && delayed) {
        taken = service.queue.back();
        service.queue.pop_back();
    } else {
        taken = service.queue.front();
        service.queue.pop_front();
    }
    return taken;
}

bool admission::should_drop(service_state& service, const query_run& run) {
    queue_inputs inputs;
    inputs.remaining = run.answer_deadline - m_core.now;
    inputs.waited = m_core.now - run.arrived_at;
    inputs.expected_latency = typical_latency(service);
    if (inputs.waited <= queue_wait_target) {
        service.wait_target_met_at = m_core.now;
    }
    inputs.above_wait_target_for = m_core.now - service.wait_target_met_at;
    return m_core.policies.drop_queued(inputs);
}

void admission::on_queued_deadline(query_run& run) {
    remove_from_queue(run);
    m_answer_sender.refuse(run, request_outcome::not_run, refusal_reason::deadline_passed);
}

void admission::remove_from_queue(query_run& run) {
    std::erase(run.service->queue, run.request.number);
}

} // namespace tamarack
