#pragma once

#include "request_answers.h"

namespace tamarack {

/** A request's way from its arrival to its one answer. Internal to the module. */
class request_flow {
public:
    request_flow(forwarding_core& core, part_dispatcher& dispatcher)
        : m_core(core), m_dispatcher(dispatcher), m_answers(core, dispatcher) {}

    void on_arrival(forward_request request);
    void on_caller_gone(forwarding_run& run);
    /** An exchange of a request has a reply. */
    void on_reply(forwarding_run& run, std::size_t part, target_connection connection, target_reply reply);
    /** The connection of a request's exchange was lost. */
    void on_lost(forwarding_run& run, std::size_t part, target_connection connection);
    /** Targets of a service were withdrawn: what waits for it is given up where none is left for it. */
    void give_up_unservable(known_service& service);
    /** Repeats or gives up what is deferred, where the losses of its request are explained by now. */
    void review_deferred();
    /** A time that the request asked for has come. */
    void on_wake(forwarding_run& run);

private:
    void trace_end(forwarding_run& run, const run_part& part, target_connection connection, trace_step step,
                   std::string result) const;
    forwarding_core& m_core;
    part_dispatcher& m_dispatcher;
    request_answers m_answers;

    void make_parts(forwarding_run& run);
    bool can_be_covered(const forwarding_run& run) const;
    /** @return whether a part has an available target before its request becomes late */
    bool is_servable(const forwarding_run& run, const run_part& part) const;
    duration expected_queue(const forwarding_run& run) const;
    /** Leaves out shards that can't reply before the objective, as many as the least coverage allows. */
    void drop_overloaded_parts(forwarding_run& run);
    bool is_admitted(forwarding_run& run);
    void cover(forwarding_run& run, run_part& part, target_reply reply);
    /** An exchange ended without a usable reply: another one, or the part stays out. */
    void retry_or_give_up(forwarding_run& run, std::size_t part, bool did_not_run, const char* cause);
    void review_deferred(forwarding_run& run);
    void give_up(forwarding_run& run, run_part& part, const char* cause);
    void hedge(forwarding_run& run, std::size_t part);
    bool charge_extra_exchange(forwarding_run& run, run_part& part);
    /** Answers the request if it is time to. */
    void answer_if_due(forwarding_run& run);
    placement_demand demand_of(const forwarding_run& run) const;
};

} // namespace tamarack
