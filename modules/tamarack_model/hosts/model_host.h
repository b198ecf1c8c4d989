#pragma once

#include "../time/event_queue.h"
#include <tamarack_query/tamarack_query.h>

#include <functional>

namespace tamarack {

/** Handlers for the actions that an entry host's query engine requests. */
struct action_handlers {
    std::function<void(const open_connection&)> open;
    std::function<void(const close_connection&)> close;
    std::function<void(const send_exchange&)> send;
    std::function<void(const cancel_exchange&)> cancel;
    std::function<void(const probe_connection&)> probe;
    std::function<void(const commit_claim&)> claim;
    std::function<void(const record_claim_result&)> record;
    std::function<void(const broadcast_crash_suspicion&)> suspect;
    std::function<void(const broadcast_quarantine&)> quarantine;
    std::function<void(const answer_caller&)> answer;
};

/** An entry host: a query engine that runs in virtual time. */
class model_host {
public:
    model_host(event_queue& events, host_id name, query_options options, std::uint64_t seed,
               action_handlers handlers);

    /**
     * Passes an event to the engine and executes the actions that it returns.
     *
     * @param event  callable that calls an event handler of the engine with the current time
     */
    template <typename Event>
    void dispatch(Event event) {
        run(event(m_engine, m_events.now()));
    }

    const query_engine& engine() const { return m_engine; }

private:
    event_queue& m_events;
    query_engine m_engine;
    action_handlers m_handlers;
    time_point m_timer_at = time_point::max();

    void run(const query_actions& actions);
    void arm_timer();
    void on_timer(time_point armed_for);
};

} // namespace tamarack
