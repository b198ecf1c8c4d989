#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace tamarack {

/** A replica that could take an exchange now: it has a free slot and an idle connection. */
struct replica_candidate {
    std::uint32_t distance = 0;        ///< rank of its data centre: 0 is nearest
    std::uint32_t slots = 0;           ///< this host's share
    std::uint32_t slots_taken = 0;     ///< of that share
    duration latency{};                ///< aged mean of own observations
    double error_share = 0;            ///< aged share of failures, 0 to 1
    double ramp = 1;                   ///< 0 to 1: how warm it is
    bool ejected = false;              ///< failed lately; to be used only when the rest can't carry the load
    std::uint32_t reported_load = 0;   ///< a hint
    duration report_age{};             ///< of the hint
    const target_id* target = nullptr; ///< its name; for policies that know more than the engine
    std::uint64_t request = 0;         ///< the request's number on this host
};

/** Chooses one of the candidates, of which there is at least one. @return its index */
using replica_choice =
    std::function<std::size_t(const std::vector<replica_candidate>& candidates, random_source& random)>;

/** What the moment of a hedge depends on. */
struct hedge_inputs {
    duration shard_percentile{}; ///< this shard's own high percentile; zero when too little was seen
    std::uint32_t distance = 0;  ///< of the replica that runs the exchange
    duration remaining{};        ///< until the deadline
    duration objective{};        ///< latency that the service aims at
};

/** @return how long after sending a second exchange is sent elsewhere, or nothing for never */
using hedge_timing = std::function<std::optional<duration>(const hedge_inputs& inputs)>;

/** What the budget for extra load depends on. */
struct load_inputs {
    std::size_t queued = 0; ///< requests that wait to start
    std::size_t running = 0;
    std::size_t running_limit = 0;
};

/** @return from 0 to 1: which part of the service's extra load may be earned now */
using extra_load_scale = std::function<double(const load_inputs& inputs)>;

/** What admission depends on. */
struct admission_inputs {
    duration remaining{}; ///< until the deadline
    std::size_t queued = 0;
    std::size_t queue_limit = 0;
    duration expected_wait{};     ///< in the queue
    duration expected_latency{};  ///< once started
    duration objective{};         ///< latency that the service aims at
    bool prefers_latency = false; ///< rather than whole answers
};

/** Decision on a request that can't start at once. */
enum class admission_verdict {
    queue,
    queue_full,
    cannot_finish,
};

using admission_choice = std::function<admission_verdict(const admission_inputs& inputs)>;

/** What dropping from the queue depends on. */
struct queue_inputs {
    duration remaining{};             ///< until the deadline
    duration waited{};                ///< in the queue
    duration expected_latency{};      ///< once started
    duration above_wait_target_for{}; ///< how long every request has waited longer than the target
};

/** @return whether a request that comes up in the queue is refused instead of started */
using queue_drop = std::function<bool(const queue_inputs& inputs)>;

/** The decisions that may be replaced, so that policies can be compared in one run; an empty one is the
 * default. */
struct query_policies {
    replica_choice choose_replica;
    hedge_timing hedge_after;
    extra_load_scale scale_extra_load;
    admission_choice admit;
    queue_drop drop_queued;
    bool newest_first_under_load = false;   ///< order of the queue while it has a delay
    bool keep_abandoned_connections = true; ///< await a cancelled reply; otherwise close the connection
    std::size_t canaries = 2;      ///< shards that are asked first for a request never completed before
    double running_per_slot = 5.0; ///< requests started per slot of the shard with the fewest slots
};

/** Power of two choices among the nearest replicas that are not clearly slower than the best. */
std::size_t choose_power_of_two(const std::vector<replica_candidate>& candidates, random_source& random);
/** Any replica, each equally likely. */
std::size_t choose_random(const std::vector<replica_candidate>& candidates, random_source& random);
/** The replica with the fewest exchanges outstanding. */
std::size_t choose_least_outstanding(const std::vector<replica_candidate>& candidates, random_source& random);
/** @return a policy that takes the candidates in turn */
replica_choice choose_round_robin();

/** After the shard's own high percentile. */
std::optional<duration> hedge_after_percentile(const hedge_inputs& inputs);
/** @return a policy that hedges after a fixed time */
hedge_timing hedge_after_fixed(duration delay);
/** Never. */
std::optional<duration> hedge_never(const hedge_inputs& inputs);

/** Falls to zero as the service comes to its limit. */
double scale_by_load(const load_inputs& inputs);
/** Refuses what the queue can't hold or what would not be done by its deadline. */
admission_verdict admit_what_can_finish(const admission_inputs& inputs);
/** Refuses what can't finish; where latency goes first, also what would wait long. */
admission_verdict admit_by_preference(const admission_inputs& inputs);
/** Refuses also what would wait in the queue for longer than the service's latency objective. */
admission_verdict admit_short_waits(const admission_inputs& inputs);
/** Refuses only what the queue can't hold. */
admission_verdict admit_while_room(const admission_inputs& inputs);
/** Drops what can no longer be done by its deadline. */
bool drop_what_cannot_finish(const queue_inputs& inputs);
/** Drops also while every request has waited longer than the target for an interval. */
bool drop_by_controlled_delay(const queue_inputs& inputs);

/** @return the policies with each empty one replaced by the default */
query_policies with_defaults(query_policies policies);

} // namespace tamarack
