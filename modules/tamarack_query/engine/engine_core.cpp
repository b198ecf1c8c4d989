#include "engine_core.h"

namespace tamarack {

namespace {

/**
 * Each host numbers its exchanges from a random start below this, so that a reply meant for another host is
 * detected.
 */
constexpr std::uint64_t first_exchange_bound = 1ULL << 52U;
/**
 * Numbers increase in random steps of at most this, so that a corrupted number is unlikely to name another
 * exchange.
 */
constexpr std::uint64_t exchange_spread = 1ULL << 12U;

} // namespace

engine_core::engine_core(host_id host, incarnation_id process, query_options wanted, random_source source)
    : self(std::move(host)), incarnation(process), options(std::move(wanted)),
      policies(with_defaults(options.policies)), random(source),
      table(options.protections.limit_extra_load, policies.running_per_slot),
      pool(options.protections.limit_connections), completed(options.max_completed_contents),
      quarantined(options.max_quarantined_requests, options.quarantine_duration),
      last_exchange(random.below(first_exchange_bound)) {}

query_run* engine_core::find_run(request_number number) {
    const auto found = runs.find(number);
    return found == runs.end() ? nullptr : found->second.get();
}

exchange_number engine_core::next_exchange() {
    last_exchange += 1 + random.below(exchange_spread);
    return last_exchange;
}

void engine_core::mark_dirty(shard_state& shard) {
    if (!shard.dirty) {
        shard.dirty = true;
        dirty_shards.push_back(&shard);
    }
}

void engine_core::mark_dirty(const replica& changed) {
    service_state* service = table.find(changed.service);
    if (service == nullptr) {
        return;
    }
    const auto shard = service->shards.find(changed.view.shard);
    if (shard != service->shards.end()) {
        mark_dirty(shard->second);
    }
}

void engine_core::end_exposure(query_run& run) {
    if (run.exposed == 0) {
        return;
    }
    --run.exposed;
    crashes.end_exposure(run.content.hash);
    changed_contents.push_back(run.content.hash);
}

void engine_core::mark_changed(const std::vector<std::uint64_t>& contents) {
    changed_contents.insert(changed_contents.end(), contents.begin(), contents.end());
}

void engine_core::quarantine(const std::vector<request_content>& contents) {
    for (const auto& content : contents) {
        const digest named = content.quarantine_key();
        if (quarantined.add(now, named)) {
            out.emplace_back(broadcast_quarantine{named});
        }
        changed_contents.push_back(content.hash);
    }
}

void engine_core::wake(query_run& run, time_point at) {
    if (at < run.wake_at) {
        run.wake_at = at;
        timers.add(at, timer_kind::run, run.request.number);
    }
}

} // namespace tamarack
