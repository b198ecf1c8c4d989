#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/** A replica that could take an exchange now, since it has a free slot and an idle connection. */
struct replica_candidate {
    std::uint32_t distance = 0;    ///< rank of its data centre; 0 is the nearest
    std::uint32_t slots = 0;       ///< this host's share of its slots
    std::uint32_t slots_taken = 0; ///< of that share
    duration latency{};            ///< decaying mean of this host's observations
    double error_share = 0;        ///< decaying share of failures, 0 to 1
    double ramp = 1;               ///< 0 to 1: how far it has ramped up to its full share
    bool ejected = false; ///< failed recently; to be used only if the other replicas can't carry the load
    std::uint32_t reported_load = 0;   ///< load that the target last reported; only a hint
    duration report_age{};             ///< age of reported_load
    const target_id* target = nullptr; ///< its identity; for policies with information that the engine lacks
    std::uint64_t request = 0;         ///< the request's number on this host
};

/** Chooses one of the candidates, of which there is at least one. @return its index */
using replica_choice =
    std::function<std::size_t(const std::vector<replica_candidate>& candidates, random_source& random)>;

/** Inputs of the decision when to hedge. */
struct hedge_inputs {
    duration shard_percentile{}; ///< high latency percentile of this shard; zero if there are too few samples
    std::uint32_t distance = 0;  ///< distance of the replica that runs the exchange
    duration remaining{};        ///< until the deadline
    duration objective{};        ///< latency that the service aims at
};

/** @return the delay after which a second exchange is sent to another replica, or nothing to never hedge */
using hedge_timing = std::function<std::optional<duration>(const hedge_inputs& inputs)>;

/** Inputs of the scale of the extra load budget. */
struct load_inputs {
    std::size_t queued = 0; ///< requests waiting to start
    std::size_t running = 0;
    std::size_t running_limit = 0;
};

/** @return the factor, from 0 to 1, on the extra load that first attempts earn now; at 0 no hedge is sent */
using extra_load_scale = std::function<double(const load_inputs& inputs)>;

/** Inputs of the admission decision. */
struct admission_inputs {
    duration remaining{}; ///< until the deadline
    std::size_t queued = 0;
    std::size_t queue_limit = 0;
    duration expected_wait{};     ///< in the queue
    duration expected_latency{};  ///< once started
    duration objective{};         ///< latency that the service aims at
    bool prefers_latency = false; ///< the service prefers low latency to complete answers
};

/** Decision on a request that can't start immediately. */
enum class admission_verdict {
    queue,
    queue_full,
    cannot_finish,
};

using admission_choice = std::function<admission_verdict(const admission_inputs& inputs)>;

/** Inputs of the decision to drop a queued request. */
struct queue_inputs {
    duration remaining{};             ///< until the deadline
    duration waited{};                ///< in the queue
    duration expected_latency{};      ///< once started
    duration above_wait_target_for{}; ///< how long ago a request last waited no longer than the target wait
};

/** @return whether a request taken from the queue is refused instead of started */
using queue_drop = std::function<bool(const queue_inputs& inputs)>;

/**
 * Replaceable decisions, so that policies can be compared in one program. An empty one stands for the
 * default.
 */
struct query_policies {
    replica_choice choose_replica;
    hedge_timing hedge_after;
    extra_load_scale scale_extra_load;
    admission_choice admit;
    queue_drop drop_queued;
    bool newest_first_under_load = false;   ///< queue order while the wait exceeds its target
    bool keep_abandoned_connections = true; ///< await cancelled replies instead of closing
    std::size_t canaries = 2;      ///< shards queried first when no target has completed the content before
    double running_per_slot = 5.0; ///< concurrent requests per slot of the shard with the fewest slots
};

/** Draws two of the nearest replicas whose cost is close to the lowest, and chooses the cheaper of them. */
std::size_t choose_power_of_two(const std::vector<replica_candidate>& candidates, random_source& random);
/** Any replica, with equal probability. */
std::size_t choose_random(const std::vector<replica_candidate>& candidates, random_source& random);
/** The replica with the fewest exchanges outstanding. */
std::size_t choose_least_outstanding(const std::vector<replica_candidate>& candidates, random_source& random);
/** @return a policy that takes the candidates in turn (round robin) */
replica_choice choose_round_robin();

/** Hedges after the shard's high latency percentile, or after the objective if there are too few samples. */
std::optional<duration> hedge_after_percentile(const hedge_inputs& inputs);
/** @return a policy that hedges after a fixed delay */
hedge_timing hedge_after_fixed(duration delay);
/** Never hedges. */
std::optional<duration> hedge_never(const hedge_inputs& inputs);

/** Falls to zero as the service approaches its limit of running requests. */
double scale_by_load(const load_inputs& inputs);
/** Refuses requests when the queue is full, and those that can't finish by their deadlines. */
admission_verdict admit_what_can_finish(const admission_inputs& inputs);
/** Refuses requests that can't finish; if the service prefers latency, also those that would wait long. */
admission_verdict admit_by_preference(const admission_inputs& inputs);
/** As admit_what_can_finish, but refuses requests that would wait for longer than the latency objective. */
admission_verdict admit_short_waits(const admission_inputs& inputs);
/** Refuses requests only when the queue is full. */
admission_verdict admit_while_room(const admission_inputs& inputs);
/** Drops requests that can no longer finish by their deadlines. */
bool drop_what_cannot_finish(const queue_inputs& inputs);
/**
 * As drop_what_cannot_finish, but drops late requests too: those that waited longer than the target wait, if
 * no request has waited less for an interval (as CoDel does).
 */
bool drop_by_controlled_delay(const queue_inputs& inputs);

/** @return the policies, with empty ones replaced by the defaults */
query_policies with_defaults(query_policies policies);

} // namespace tamarack
