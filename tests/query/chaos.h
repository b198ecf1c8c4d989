#pragma once

#include <tamarack_model/tamarack_model.h>

namespace tamarack {

/** The faults that are injected into a run. */
struct chaos_options {
    bool restarts = true;
    bool drains = true;
    bool shedding = true;
    bool slowness = true;
    bool silence = true;
    bool versions = true;
    bool sharing = true;
    bool wrong_replies = true;
    bool poison = true;
    std::size_t poison_hosts = 1; ///< number of hosts that the poison request is sent to
    duration gap = 150ms;         ///< mean time between faults
};

/** @return the options of a small service for randomised runs */
inline world_options make_chaos_world(std::uint64_t seed) {
    world_options options = deployed_service("recall-finder");
    options.service.maps.front().shards.resize(4);
    options.hosts = 2;
    options.load = 0.5;
    options.length = 4s;
    options.warm_up = 0ms;
    options.deadline = 500ms;
    options.view_delay = 50ms;
    options.non_idempotent_share = 0.1;
    options.service.least_coverage = 0.5;
    options.times.straggler_share = 0.01;
    options.seed = seed;
    return options;
}

/** Injects faults at random times of a run; the same faults for the same seed. */
class chaos {
public:
    chaos(model_world& world, const chaos_options& options) : m_world(world), m_options(options) {
        if (options.wrong_replies) {
            for (const auto& target : world.targets()) {
                target->faults = {0.01, 0.01, 0.01, 0.01, 0.01, 0.01};
            }
        }
        plan();
        if (options.poison) {
            offer_poison();
        }
    }

private:
    model_world& m_world;
    chaos_options m_options;
    random_source m_random{m_world.options().seed + 77};
    int m_next_version = 2;

    bool is_over() const { return m_world.events().now() >= time_point{m_world.options().length}; }

    void plan() {
        m_world.events().after(m_random.exponential(m_options.gap), [this] {
            if (!is_over()) {
                inject();
                plan();
            }
        });
    }

    model_target& any_target() { return *m_world.targets()[m_random.below(m_world.targets().size())]; }

    void inject() {
        model_target& target = any_target();
        switch (m_random.below(7)) {
        case 0:
            inject_restart(target);
            return;
        case 1:
            inject_drain(target);
            return;
        case 2:
            inject_shedding(target);
            return;
        case 3:
            inject_slowness(target);
            return;
        case 4:
            inject_silence(target);
            return;
        case 5:
            inject_version();
            return;
        default:
            inject_sharing();
            return;
        }
    }

    void inject_restart(model_target& target) {
        if (m_options.restarts && target.is_up()) {
            m_world.restart(target, m_random.between(50ms, 500ms));
        }
    }

    void inject_drain(model_target& target) {
        if (!m_options.drains || !target.is_up()) {
            return;
        }
        target.draining = true;
        m_world.publish();
        m_world.events().after(400ms, [this, &target] { m_world.restart(target, 100ms); });
    }

    void inject_shedding(model_target& target) {
        if (m_options.shedding) {
            target.shedding = true;
            m_world.events().after(200ms, [&target] { target.shedding = false; });
        }
    }

    void inject_slowness(model_target& target) {
        if (m_options.slowness) {
            target.slowness = 8.0;
            m_world.events().after(300ms, [&target] { target.slowness = 1.0; });
        }
    }

    void inject_silence(model_target& target) {
        if (m_options.silence) {
            m_world.silence_connections(target, 0.7);
        }
    }

    /** Each target adds a new version at its own time, and later drops the older ones or, on a rollback, the
     * new. */
    void inject_version() {
        if (!m_options.versions) {
            return;
        }
        const std::string map = m_world.options().service.maps.front().name;
        const offered_version added{index_version{"v" + std::to_string(m_next_version++)}, map};
        const bool rolled_back = m_random.chance(0.3);
        for (const auto& target : m_world.targets()) {
            m_world.events().after(m_random.between(0ms, 300ms), [this, added, &target] {
                target->versions.push_back(added);
                m_world.publish();
            });
            m_world.events().after(m_random.between(200ms, 700ms), [this, added, rolled_back, &target] {
                std::erase_if(target->versions, [&](const offered_version& held) {
                    return rolled_back ? held == added : held.version < added.version;
                });
                m_world.publish();
            });
        }
    }

    /** Changes the hosts' shares; each host uses the smaller share until all hosts know the new ones. */
    void inject_sharing() {
        if (!m_options.sharing || m_random.chance(0.7)) {
            return;
        }
        m_world.change_sharing_hosts(m_random.chance(0.5) ? 1 : 2);
        m_world.publish();
    }

    void offer_poison() {
        m_world.events().after(m_random.exponential(60ms), [this] {
            if (!is_over()) {
                m_world.offer(m_random.below(m_options.poison_hosts), std::string{poison} + " 1");
                offer_poison();
            }
        });
    }
};

} // namespace tamarack
