#include "model_host.h"

namespace tamarack {

namespace {

/** Calls the handler that belongs to each type of action. */
struct action_visitor {
    const action_handlers& handlers;

    void operator()(const open_connection& action) const { handlers.open(action); }
    void operator()(const close_connection& action) const { handlers.close(action); }
    void operator()(const send_exchange& action) const { handlers.send(action); }
    void operator()(const cancel_exchange& action) const { handlers.cancel(action); }
    void operator()(const probe_connection& action) const { handlers.probe(action); }
    void operator()(const commit_claim& action) const { handlers.claim(action); }
    void operator()(const record_claim_result& action) const { handlers.record(action); }
    void operator()(const broadcast_crash_suspicion& action) const { handlers.suspect(action); }
    void operator()(const broadcast_quarantine& action) const { handlers.quarantine(action); }
    void operator()(const answer_caller& action) const { handlers.answer(action); }
};

} // namespace

model_host::model_host(event_queue& events, host_id name, query_options options, std::uint64_t seed,
                       action_handlers handlers)
    : m_events(events), m_engine(std::move(name), {seed}, std::move(options), random_source{seed}),
      m_handlers(std::move(handlers)) {}

void model_host::run(const query_actions& actions) {
    for (const auto& action : actions) {
        std::visit(action_visitor{m_handlers}, action);
    }
    arm_timer();
}

void model_host::arm_timer() {
    const time_point next = m_engine.next_timer();
    if (next >= m_timer_at) {
        return;
    }
    m_timer_at = next;
    m_events.at(next, [this, next] { on_timer(next); });
}

void model_host::on_timer(time_point armed_for) {
    if (armed_for != m_timer_at) {
        return;
    }
    m_timer_at = time_point::max();
    dispatch([](query_engine& engine, time_point now) { return engine.on_timer(now); });
}

} // namespace tamarack
