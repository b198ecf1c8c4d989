#pragma once

#include <tamarack_base/tamarack_base.h>

#include <span>
#include <string_view>

namespace tamarack {

/** Counters. The number of values of each label is limited. */
enum class counter_id {
    requests_total,  ///< label: outcome
    exchanges_total, ///< label: result
    hedges_total,
    retries_total,
    repeats_refused_total,
    crash_evidence_total, ///< label: step
    refusals_total,       ///< label: reason
    gave_way_total,
    connections_opened_total,
    connections_closed_total,  ///< label: reason
    target_changes_total,      ///< label: change
    target_anomalies_total,    ///< label: cause
    request_limit_steps_total, ///< label: step
    exchanges_under_limit_total,
    exchanges_by_distance_total, ///< label: distance
    locality_steps_total,        ///< label: step
    team_state_changes_total,    ///< label: state
    announcements_total,         ///< label: result
    target_withdrawals_total,    ///< label: result
    tickets_total,               ///< label: verdict
    claims_total,                ///< label: verdict
    host_messages_total,         ///< label: method
    host_message_bytes_total,    ///< label: direction
    configurations_sent_total,
    connection_refusals_total, ///< label: cause
};

/** Gauges: current values. */
enum class gauge_id {
    ticket_in_force_number,
    lease_remaining_seconds,
    targets_known,
    hosts_known,
    requests_running,
    requests_queued,
    log_entries,
    is_leader,
    memory_resident_bytes,
    memory_allocated_bytes,
};

/** Histograms of durations in seconds. */
enum class histogram_id {
    request_duration_seconds, ///< label: service
    exchange_duration_seconds,
    sync_duration_seconds,
};

/** Describes a metric for the registry and for docs/METRICS.md. */
struct metric_description {
    std::string_view name; ///< with the "tamarack_" prefix and its unit
    std::string_view help;
    std::string_view label; ///< name of its one label, or empty
};

/** @return name, help and label of a counter */
const metric_description& describe(counter_id id);
/** @return name, help and label of a gauge */
const metric_description& describe(gauge_id id);
/** @return name, help and label of a histogram */
const metric_description& describe(histogram_id id);

/** @return descriptions of all counters, in the order of counter_id */
std::span<const metric_description> counter_descriptions();
/** @return descriptions of all gauges, in the order of gauge_id */
std::span<const metric_description> gauge_descriptions();
/** @return descriptions of all histograms, in the order of histogram_id */
std::span<const metric_description> histogram_descriptions();

/** @return upper bounds of the histograms' buckets, in seconds */
std::span<const double> histogram_bounds();

} // namespace tamarack
