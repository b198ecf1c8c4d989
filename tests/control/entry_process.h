#pragma once

#include "event_queue.h"

#include <tamarack_control/tamarack_control.h>

#include <functional>
#include <map>
#include <memory>

namespace tamarack {

/** Callbacks of an entry process to its environment. */
struct entry_process_hooks {
    std::function<void(const host_id& from, const host_id& to, const control_message&)> send_control;
    /** Executes a request at the target; @return whether the target executed it. */
    std::function<bool(const claim&)> run;
    /** Reports to the caller how its request ended. */
    std::function<void(const claim&, const claim_answer&)> answer;
};

/**
 * The process of an entry host: follows the control hosts and executes keyed requests once their claims are
 * granted.
 */
class entry_process {
public:
    entry_process(event_queue& events, random_source& random, control_client_options options,
                  drifting_clock clock, entry_process_hooks hooks);

    void start();
    void crash();
    bool is_up() const { return m_client != nullptr; }

    void on_control(const control_message& message);
    void drain() { perform(m_client->set_draining(local_now(), true)); }
    /** Handles a caller's request; its host, incarnation and attempt are filled in here. */
    void request(claim wanted);

    control_client& client() { return *m_client; }
    const host_id& self() const { return m_options.self; }
    bool may_serve() const { return is_up() && m_client->may_serve(local_now()); }
    time_point local_now() const { return m_clock.local(m_events.now()); }
    std::size_t open_requests() const { return m_open.size(); }

private:
    void perform(control_client_actions actions);
    void on_answered(std::uint64_t request, const claim_answer& answer);
    void run(const claim& granted);
    void schedule_timer();

    event_queue& m_events;
    random_source& m_random;
    control_client_options m_options;
    drifting_clock m_clock;
    entry_process_hooks m_hooks;
    std::unique_ptr<control_client> m_client;
    std::map<std::uint64_t, claim> m_open;
    std::uint64_t m_next_request = 1;
    std::uint64_t m_generation = 0;
    time_point m_timer_at = time_point::max();
};

} // namespace tamarack
