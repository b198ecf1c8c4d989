#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <bitset>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/** A mechanism of forwarding that can be switched off to measure what it is worth. */
enum class forwarding_mechanism {
    hedges,
    retries,
    ejection,
    stall_detection,    ///< avoids targets that hold an exchange for too long
    load_reports,       ///< uses the load that targets report
    speed_estimate,     ///< avoids slow targets
    error_share,        ///< avoids targets that fail part of their exchanges
    cold_targets,       ///< avoids targets that have just started
    near_targets,       ///< prefers targets in the host's own data centre
    wait_order,         ///< orders waiting parts by priority and objective, not by arrival
    part_dropping,      ///< leaves out overloaded shards
    admission_by_wait,  ///< refuses requests that would wait too long
    gradual_return,     ///< returns to a target step by step after its backoff
    warm_connections,   ///< opens connections before they are needed
    active_subset,      ///< directs callers to a part of the hosts
    locality,           ///< adapts the fraction that leaves the data centre; only with `locality = adaptive`
    connection_backoff, ///< after a reset of a new connection, asks the target for fewer, and later
    work_cancellation,  ///< closes connections whose exchange waits at a target for nothing
    team_fairness,      ///< shares scarce capacity between teams
    return_pacing,      ///< spreads the return of refused callers
};

template <>
struct name_table<forwarding_mechanism> {
    static constexpr std::array<std::pair<forwarding_mechanism, std::string_view>, 20> entries{{
        {forwarding_mechanism::hedges, "hedges"},
        {forwarding_mechanism::retries, "retries"},
        {forwarding_mechanism::ejection, "ejection"},
        {forwarding_mechanism::stall_detection, "stall_detection"},
        {forwarding_mechanism::load_reports, "load_reports"},
        {forwarding_mechanism::speed_estimate, "speed_estimate"},
        {forwarding_mechanism::error_share, "error_share"},
        {forwarding_mechanism::cold_targets, "cold_targets"},
        {forwarding_mechanism::near_targets, "near_targets"},
        {forwarding_mechanism::wait_order, "wait_order"},
        {forwarding_mechanism::part_dropping, "part_dropping"},
        {forwarding_mechanism::admission_by_wait, "admission_by_wait"},
        {forwarding_mechanism::gradual_return, "gradual_return"},
        {forwarding_mechanism::warm_connections, "warm_connections"},
        {forwarding_mechanism::active_subset, "active_subset"},
        {forwarding_mechanism::locality, "locality"},
        {forwarding_mechanism::connection_backoff, "connection_backoff"},
        {forwarding_mechanism::work_cancellation, "work_cancellation"},
        {forwarding_mechanism::team_fairness, "team_fairness"},
        {forwarding_mechanism::return_pacing, "return_pacing"},
    }};
};

/** The mechanisms in use; all unless some are switched off. */
class mechanisms_in_use {
public:
    void switch_off(forwarding_mechanism mechanism) { m_off.set(static_cast<std::size_t>(mechanism)); }
    bool has(forwarding_mechanism mechanism) const {
        return !m_off.test(static_cast<std::size_t>(mechanism));
    }
    /** @return names of the mechanisms that are switched off, separated by commas */
    std::string off() const {
        std::string names;
        for (const auto& [mechanism, name] : name_table<forwarding_mechanism>::entries) {
            if (!has(mechanism)) {
                names += (names.empty() ? "" : ",") + std::string{name};
            }
        }
        return names;
    }

private:
    std::bitset<name_table<forwarding_mechanism>::entries.size()> m_off;
};

} // namespace tamarack
