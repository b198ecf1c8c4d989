#include "query_policies.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr duration min_hedge_delay = 1ms;
constexpr double load_without_scaling = 0.8;
constexpr duration queue_wait_target = 20ms;
constexpr duration controlled_interval = 100ms;

} // namespace

std::optional<duration> hedge_after_percentile(const hedge_inputs& inputs) {
    const bool unknown = inputs.shard_percentile == duration{0};
    return std::max(unknown ? inputs.objective : inputs.shard_percentile, min_hedge_delay);
}

hedge_timing hedge_after_fixed(duration delay) {
    return [delay](const hedge_inputs& /*inputs*/) { return std::optional<duration>{delay}; };
}

std::optional<duration> hedge_never(const hedge_inputs& /*inputs*/) {
    return std::nullopt;
}

double scale_by_load(const load_inputs& inputs) {
    if (inputs.queued > 0 || inputs.running >= inputs.running_limit) {
        return 0.0;
    }
    const double load = static_cast<double>(inputs.running) / static_cast<double>(inputs.running_limit);
    return std::clamp((1.0 - load) / (1.0 - load_without_scaling), 0.0, 1.0);
}

admission_verdict admit_what_can_finish(const admission_inputs& inputs) {
    if (inputs.queued >= inputs.queue_limit) {
        return admission_verdict::queue_full;
    }
    const bool in_time = inputs.expected_wait + inputs.expected_latency <= inputs.remaining;
    return in_time ? admission_verdict::queue : admission_verdict::cannot_finish;
}

admission_verdict admit_short_waits(const admission_inputs& inputs) {
    const bool short_wait = inputs.expected_wait <= inputs.objective;
    return short_wait ? admit_what_can_finish(inputs) : admission_verdict::cannot_finish;
}

admission_verdict admit_by_preference(const admission_inputs& inputs) {
    return inputs.prefers_latency ? admit_short_waits(inputs) : admit_what_can_finish(inputs);
}

admission_verdict admit_while_room(const admission_inputs& inputs) {
    return inputs.queued >= inputs.queue_limit ? admission_verdict::queue_full : admission_verdict::queue;
}

bool drop_what_cannot_finish(const queue_inputs& inputs) {
    return inputs.expected_latency > inputs.remaining;
}

bool drop_by_controlled_delay(const queue_inputs& inputs) {
    const bool delayed =
        inputs.waited > queue_wait_target && inputs.above_wait_target_for > controlled_interval;
    return delayed || drop_what_cannot_finish(inputs);
}

} // namespace tamarack
