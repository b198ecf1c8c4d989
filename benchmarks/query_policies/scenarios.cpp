#include "scenarios.h"

namespace tamarack {

namespace {

constexpr time_point fault_at{2s};

void no_change(world_options& /*options*/) {}
void no_fault(model_world& /*world*/) {}

void add_stragglers(world_options& options) {
    options.times.straggler_share = 0.01;
}

/** Calls a function for the first replica of each shard. */
void for_first_replicas(model_world& world, const std::function<void(model_target&)>& call) {
    for (const auto& target : world.targets()) {
        if (target->profile().ordinal == 0) {
            call(*target);
        }
    }
}

void slow_one(model_world& world) {
    world.events().at(fault_at, [&world] {
        for_first_replicas(world, [](model_target& target) { target.slowness = 5.0; });
    });
}

void lose_one(model_world& world) {
    world.events().at(fault_at, [&world] {
        for_first_replicas(world, [](model_target& target) { target.crash(); });
        world.publish();
    });
}

void flap_one(model_world& world) {
    for (duration moment = 1500ms; moment < world.options().length; moment += 1s) {
        world.events().at(time_point{moment}, [&world] {
            for_first_replicas(world, [&world](model_target& target) { world.restart(target, 400ms); });
        });
    }
}

/** @return the targets ordered by their ordinals, so that those of one shard are far apart */
std::vector<model_target*> by_ordinal(model_world& world) {
    std::vector<model_target*> ordered;
    for (std::uint32_t ordinal = 0; ordinal < world.options().replicas; ++ordinal) {
        for (const auto& target : world.targets()) {
            if (target->profile().ordinal == ordinal) {
                ordered.push_back(target.get());
            }
        }
    }
    return ordered;
}

void restart_all_in_turn(model_world& world) {
    duration moment = 1500ms;
    const duration gap =
        (world.options().length - moment) / static_cast<duration::rep>(world.targets().size());
    for (const auto& target : by_ordinal(world)) {
        world.events().at(time_point{moment}, [&world, target] {
            target->draining = true;
            target->cold_start_time = 500ms;
            world.publish();
        });
        world.events().at(time_point{moment + 700ms}, [&world, target] { world.restart(*target, 100ms); });
        moment += gap;
    }
}

void change_index(model_world& world) {
    for (const auto& target : world.targets()) {
        const duration taken_at = 1500ms + world.random().between(0ms, 1s);
        world.events().at(time_point{taken_at}, [&world, &target] {
            target->versions.push_back({index_version{"v2"}, "map"});
            world.publish();
        });
        world.events().at(time_point{taken_at + 1500ms}, [&world, &target] {
            target->versions.erase(target->versions.begin());
            world.publish();
        });
    }
}

void lose_data_center(model_world& world) {
    world.events().at(fault_at, [&world] {
        const data_center_id lost = world.options().network.data_centers.back();
        for (const auto& target : world.targets()) {
            if (target->profile().data_center == lost) {
                target->crash();
            }
        }
        world.publish();
    });
}

} // namespace

std::vector<scenario> scenarios() {
    return {
        {"steady", no_change, no_fault},           {"stragglers", add_stragglers, no_fault},
        {"one_slow", no_change, slow_one},         {"one_lost", no_change, lose_one},
        {"one_flapping", no_change, flap_one},     {"rolling_restart", no_change, restart_all_in_turn},
        {"index_change", no_change, change_index}, {"data_center_lost", no_change, lose_data_center},
    };
}

} // namespace tamarack
