#include "model_host.h"

namespace tamarack {

namespace {

/** Hands each action to its handler. */
struct action_visitor {
    const host_shell& shell;

    void operator()(const open_connection& action) const { shell.open(action); }
    void operator()(const close_connection& action) const { shell.close(action); }
    void operator()(const send_exchange& action) const { shell.send(action); }
    void operator()(const cancel_exchange& action) const { shell.cancel(action); }
    void operator()(const probe_connection& action) const { shell.probe(action); }
    void operator()(const commit_claim& action) const { shell.claim(action); }
    void operator()(const record_claim_result& action) const { shell.record(action); }
    void operator()(const broadcast_crash_suspicion& action) const { shell.suspect(action); }
    void operator()(const broadcast_quarantine& action) const { shell.spread(action); }
    void operator()(const answer_caller& action) const { shell.answer(action); }
};

} // namespace

model_host::model_host(event_queue& events, host_id name, query_options options, std::uint64_t seed,
                       host_shell shell)
    : m_events(events), m_engine(std::move(name), {seed}, std::move(options), random_source{seed}),
      m_shell(std::move(shell)) {}

void model_host::run(const query_actions& actions) {
    for (const auto& action : actions) {
        std::visit(action_visitor{m_shell}, action);
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
    feed([](query_engine& engine, time_point now) { return engine.on_timer(now); });
}

} // namespace tamarack
