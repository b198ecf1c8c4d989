#pragma once

#include "../admission/admission.h"
#include "request_answers.h"
#include "team_admission.h"

namespace tamarack {

/** Processes requests from arrival to the final answer. Internal to the module. */
class request_flow {
public:
    request_flow(forwarding_core& core, part_dispatcher& dispatcher)
        : m_core(core), m_dispatcher(dispatcher), m_answers(core, dispatcher), m_admission(core, m_answers) {}

    void on_arrival(forward_request request);
    /** A request that waited for its team's limit goes on. */
    void on_admitted(admitted_request waited);
    /** The caller of a request that waits for its team's limit, or of one that has ended, has left. */
    void on_caller_gone(forward_number number) { m_admission.cancel(number); }
    team_admission& admission() { return m_admission; }
    void on_caller_gone(forwarding_run& run);
    /** A target replied to an exchange of a request. */
    void on_reply(forwarding_run& run, std::size_t part, target_connection connection, target_reply reply);
    /** The connection of a request's exchange was lost. */
    /** @param unsent  no byte of the exchange was sent, so its target can't have run it */
    void on_lost(forwarding_run& run, std::size_t part, target_connection connection, std::string cause,
                 bool unsent);
    /** Gives up those of the waiting parts that no target of the service can serve in time; an extra exchange
     * goes only to targets that the part was not sent to. */
    void give_up_unservable(engine_service& service);
    /** Retries or gives up the deferred parts of requests whose losses have been confirmed or refuted. */
    void review_deferred();
    /**
     * Sends nothing more of the requests whose key no team holds any more.
     *
     * @param lease_lost  this host can't confirm keys any more: the same for all requests with a key
     */
    void withdraw_keyed_requests(bool lease_lost);
    /** Reviews a request at its scheduled time. */
    void on_wake(forwarding_run& run);

private:
    bool may_be_sent(const forwarding_run& run, const run_part& part) const;
    void trace_end(forwarding_run& run, const run_part& part, target_connection connection, trace_step step,
                   std::string result) const;
    forwarding_core& m_core;
    part_dispatcher& m_dispatcher;
    request_answers m_answers;
    team_admission m_admission;

    /** @param arrived  std::nullopt if the request arrives now and its team's limit is to be checked */
    void start(forward_request request, std::optional<time_point> arrived);

    void make_parts(forwarding_run& run);
    bool can_be_covered(const forwarding_run& run) const;
    /** @return whether a service of the request has no available target without a request limit */
    bool is_limited(const forwarding_run& run) const;
    /** @return whether a target becomes available for a part before its request is late */
    bool is_servable(const forwarding_run& run, const run_part& part) const;
    duration expected_queue(const forwarding_run& run) const;
    /** Gives up parts whose shards cannot reply before the objective, as far as the least coverage allows. */
    void drop_overloaded_parts(forwarding_run& run);
    bool is_admitted(forwarding_run& run);
    /** Records a request of a team, and turns its admission into a refusal if capacity is short and the team
     * is above its share. @return whether it did */
    bool gives_way(const forwarding_run& run, const forward_admission_inputs& inputs,
                   admission_decision& decision);
    void cover(forwarding_run& run, run_part& part, target_reply reply);
    /** Sends another exchange after one ended without a usable reply, or gives the part up. */
    void retry_or_give_up(forwarding_run& run, std::size_t part, bool did_not_run, const char* cause);
    void review_deferred(forwarding_run& run);
    void give_up(forwarding_run& run, run_part& part, const char* cause);
    void hedge(forwarding_run& run, std::size_t part);
    bool charge_extra_exchange(forwarding_run& run, run_part& part);
    /** Answers the request if enough parts have been received, or if it can no longer succeed. */
    void answer_if_due(forwarding_run& run);
    placement_demand demand_of(const forwarding_run& run) const;
};

} // namespace tamarack
