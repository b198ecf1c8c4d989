#pragma once

#include "control_client.h"
#include "control_client_actions.h"
#include "control_route.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace tamarack {

/**
 * Sends a host's claims and results to the leader, and retransmits each until it is answered. Internal to the
 * module.
 *
 * While the number of unrecorded results is at its limit, no further claim is accepted: each claim may
 * produce a result to record, and dropping a result would leave the claim on its key open.
 *
 * A claim without an answer by its deadline is withdrawn: its attempt is recorded as not run, so that the
 * claim is not granted if it arrives later, and its key is free if it was granted before.
 */
class claim_client {
public:
    claim_client(const control_client_options& options, std::uint64_t first_operation);

    void commit(time_point now, std::uint64_t request, const claim& wanted, time_point deadline,
                const control_route& route, control_client_actions& actions);
    void record(time_point now, claim_result ended);

    void on_decided(time_point now, const claim_decided& message, control_route& route,
                    control_client_actions& actions);
    void on_recorded(time_point now, const result_recorded& message, control_route& route);
    void on_redirect(time_point now, const leader_redirect& message);
    void on_timer(time_point now, control_route& route, control_client_actions& actions);
    time_point next_timer() const;

    std::size_t unrecorded_results() const { return m_results.size(); }

private:
    struct pending_claim {
        std::uint64_t request = 0;
        claim wanted;
        time_point deadline;
        time_point sent_at{};
        time_point next_send_at{};
    };

    struct pending_result {
        claim_result ended;
        time_point sent_at{};
        time_point next_send_at{};
    };

    void withdraw_overdue_claims(time_point now, control_client_actions& actions);
    void send_due_claims(time_point now, control_route& route, control_client_actions& actions);
    void send_due_results(time_point now, control_route& route, control_client_actions& actions);

    control_client_options m_options;
    std::uint64_t m_next_operation;
    std::map<std::uint64_t, pending_claim> m_claims;
    std::map<std::uint64_t, pending_result> m_results;
};

} // namespace tamarack
