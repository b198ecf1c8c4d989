#include "metric_catalogue.h"

#include <array>
#include <cstddef>

namespace tamarack {

namespace {

constexpr std::array<metric_description, 25> counters{{
    {"tamarack_requests_total", "Callers' requests that got their final answer.", "outcome"},
    {"tamarack_exchanges_total", "Exchanges with targets that ended.", "result"},
    {"tamarack_hedges_total", "Second exchanges sent because the first one was late.", ""},
    {"tamarack_retries_total", "Exchanges sent again after a failure or a refusal.", ""},
    {"tamarack_repeats_refused_total", "Hedges and retries that the budget for extra load refused.", ""},
    {"tamarack_crash_evidence_total", "Steps in the evidence that requests crash their targets.", "step"},
    {"tamarack_refusals_total", "Callers' requests refused or failed, by reason.", "reason"},
    {"tamarack_gave_way_total", "Requests refused because their team was above its share.", ""},
    {"tamarack_connections_opened_total", "Connections opened to targets.", ""},
    {"tamarack_connections_closed_total", "Connections to targets closed, by reason.", "reason"},
    {"tamarack_target_changes_total", "Changes of what this host believes of a target, by kind.", "change"},
    {"tamarack_target_anomalies_total", "Breaches of the protocol by targets, by cause.", "cause"},
    {"tamarack_request_limit_steps_total", "Steps in what this host knows of targets' request limits.",
     "step"},
    {"tamarack_exchanges_under_limit_total", "Exchanges sent to targets while their limit was in force.", ""},
    {"tamarack_exchanges_by_distance_total",
     "Exchanges sent to targets in the own data centre or outside it.", "distance"},
    {"tamarack_locality_steps_total", "Changes of the fraction that leaves the data centre, by direction.",
     "step"},
    {"tamarack_team_state_changes_total", "Changes of teams between open and metered, on the leader.",
     "state"},
    {"tamarack_announcements_total", "Announcements of targets received, by result.", "result"},
    {"tamarack_target_withdrawals_total",
     "Targets that drain or have ended, by whether other hosts confirmed it before the acknowledgement.",
     "result"},
    {"tamarack_tickets_total", "Tickets received, by verdict.", "verdict"},
    {"tamarack_claims_total", "Claims on idempotency keys, by verdict.", "verdict"},
    {"tamarack_host_messages_total", "Messages received from other hosts, by method.", "method"},
    {"tamarack_host_message_bytes_total", "Bytes of messages between hosts, by direction.", "direction"},
    {"tamarack_configurations_sent_total", "Configurations that were queued for other hosts.", ""},
    {"tamarack_connection_refusals_total",
     "Requests and connections of callers refused or ended because of a limit, by cause.", "cause"},
}};

constexpr std::array<metric_description, 10> gauges{{
    {"tamarack_ticket_in_force_number", "Number of the ticket that this host serves under.", ""},
    {"tamarack_lease_remaining_seconds", "Remaining validity of the configuration lease.", ""},
    {"tamarack_targets_known", "Targets known to this host.", ""},
    {"tamarack_hosts_known", "Hosts known to this host, itself included.", ""},
    {"tamarack_requests_running", "Callers' requests that are running.", ""},
    {"tamarack_requests_queued", "Callers' requests that wait to be started.", ""},
    {"tamarack_log_entries", "Entries of the replicated log that are kept on disk.", ""},
    {"tamarack_is_leader", "1 while this host leads the control hosts, else 0.", ""},
    {"tamarack_memory_resident_bytes", "Memory of this process that counts towards its limit.", ""},
    {"tamarack_memory_allocated_bytes", "Memory that the program holds of it.", ""},
}};

constexpr std::array<metric_description, 3> histograms{{
    {"tamarack_request_duration_seconds", "Time from a request's receipt to its answer.", "service"},
    {"tamarack_exchange_duration_seconds", "Time from sending an exchange to its reply.", ""},
    {"tamarack_sync_duration_seconds", "Time of one synchronisation of the log to disk.", ""},
}};

constexpr std::array<double, 17> bounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.055, 0.075,
                                        0.1,   0.15,  0.25,  0.5,  1.0,  2.5,  5.0,  10.0};

static_assert(counters.size() == static_cast<std::size_t>(counter_id::connection_refusals_total) + 1);
static_assert(gauges.size() == static_cast<std::size_t>(gauge_id::memory_allocated_bytes) + 1);
static_assert(histograms.size() == static_cast<std::size_t>(histogram_id::sync_duration_seconds) + 1);

} // namespace

const metric_description& describe(counter_id id) {
    return counters.at(static_cast<std::size_t>(id));
}

const metric_description& describe(gauge_id id) {
    return gauges.at(static_cast<std::size_t>(id));
}

const metric_description& describe(histogram_id id) {
    return histograms.at(static_cast<std::size_t>(id));
}

std::span<const metric_description> counter_descriptions() {
    return counters;
}

std::span<const metric_description> gauge_descriptions() {
    return gauges;
}

std::span<const metric_description> histogram_descriptions() {
    return histograms;
}

std::span<const double> histogram_bounds() {
    return bounds;
}

} // namespace tamarack
