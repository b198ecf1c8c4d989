#include "policy_variants.h"

#include <memory>

namespace tamarack {

namespace {

/** Chooses the replica with the shortest service time, which it knows in advance, and never hedges. */
void apply_oracle(world_options& options) {
    const service_times times = options.times;
    const std::uint64_t seed = options.seed;
    options.engine.policies.hedge_after = hedge_never;
    options.engine.protections.quarantine = false;
    options.engine.policies.choose_replica = [times, seed](const std::vector<replica_candidate>& candidates,
                                                           random_source& /*random*/) {
        std::size_t best = 0;
        duration shortest = duration::max();
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const auto& candidate = candidates[index];
            const std::uint64_t place = stable_hash(candidate.target->value());
            const duration needed = times.draw(seed, candidate.request, place);
            if (needed < shortest) {
                shortest = needed;
                best = index;
            }
        }
        return best;
    };
}

} // namespace

std::vector<policy_variant> policy_variants() {
    return {
        {"default", [](world_options& /*options*/) {}},
        {"random", [](world_options& options) { options.engine.policies.choose_replica = choose_random; }},
        {"round_robin",
         [](world_options& options) { options.engine.policies.choose_replica = choose_round_robin(); }},
        {"least_outstanding",
         [](world_options& options) { options.engine.policies.choose_replica = choose_least_outstanding; }},
        {"no_hedge", [](world_options& options) { options.engine.policies.hedge_after = hedge_never; }},
        {"fixed_hedge_30ms",
         [](world_options& options) { options.engine.policies.hedge_after = hedge_after_fixed(30ms); }},
        {"close_cancelled",
         [](world_options& options) { options.engine.policies.keep_abandoned_connections = false; }},
        {"no_canary", [](world_options& options) { options.engine.protections.quarantine = false; }},
        {"admit_short_waits",
         [](world_options& options) { options.engine.policies.admit = admit_short_waits; }},
        {"admit_what_can_finish",
         [](world_options& options) { options.engine.policies.admit = admit_what_can_finish; }},
        {"newest_dropped", [](world_options& options) { options.engine.policies.admit = admit_while_room; }},
        {"controlled_delay",
         [](world_options& options) { options.engine.policies.drop_queued = drop_by_controlled_delay; }},
        {"oracle", apply_oracle},
    };
}

} // namespace tamarack
