#pragma once

#include "control_process.h"
#include "entry_process.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/** Observes a control plane from outside and records every violated invariant. */
class world_checks {
public:
    /** A control host answered a ticket; the answer may be lost on its way. */
    void on_ticket_answer(time_point now, const ticket& candidate, const outcome<ticket_answer>& answer);
    /** The target executed a request. */
    void on_run(const claim& ran);
    /** A caller received the answer to its request. */
    void on_caller_answered(const claim& asked, const claim_answer& answer);
    /** Checks all processes at the current time. */
    void sample(time_point now, std::vector<std::unique_ptr<control_process>>& controls,
                std::vector<std::unique_ptr<entry_process>>& entries);
    void add(std::string violation) { m_violations.push_back(std::move(violation)); }

    const std::vector<std::string>& violations() const { return m_violations; }
    ticket_number latest_accepted() const;
    ticket_number reported_in_force() const { return m_in_force; }
    std::size_t accepted_count() const { return m_accepted_at.size(); }
    std::size_t run_count() const { return m_runs.size(); }
    /** @return for each ticket, the time from its acceptance until no host served an older one */
    const std::vector<duration>& spreads() const { return m_spreads; }
    /** @return for each ticket, the time from its acceptance until a leader reported it in force */
    const std::vector<duration>& reports() const { return m_reports; }

private:
    void check_content(const ticket& candidate, const ticket_answer& answer);
    void check_serving(time_point now, std::vector<std::unique_ptr<entry_process>>& entries);
    void check_shares(std::vector<std::unique_ptr<entry_process>>& entries);

    std::vector<std::string> m_violations;
    std::map<ticket_number, digest> m_contents;
    std::map<ticket_number, time_point> m_accepted_at; ///< when each ticket was first observed as the latest
    std::set<ticket_number> m_accepted_answers;
    ticket_number m_in_force;
    ticket_number m_served_everywhere;
    std::vector<duration> m_spreads;
    std::vector<duration> m_reports;
    std::map<idempotency_key, int> m_runs;
};

} // namespace tamarack
