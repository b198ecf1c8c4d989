#pragma once

#include "exchange_losses.h"
#include "limit_tracker.h"
#include "part_dispatcher.h"

namespace tamarack {

/**
 * Keeps the engine's services and targets in line with the view.
 *
 * Internal to the module.
 */
class target_list {
public:
    target_list(forwarding_core& core, part_dispatcher& dispatcher, exchange_losses& losses,
                limit_tracker& limits)
        : m_core(core), m_dispatcher(dispatcher), m_losses(losses), m_limits(limits) {}

    /** Adds and removes services, after a change of the routes. */
    void update_services(const forwarding_view& view);
    /**
     * Adds, updates and removes targets.
     *
     * Load pattern: operators evacuate a data centre, and its targets are still healthy and announce
     * themselves. They are treated as removed ones: exchanges that run there finish, waiting parts, retries
     * and hedges go to other targets, and idle connections are closed.
     */
    void update_targets(const forwarding_view& view);
    /** Withdraws a target from use: it gets no new exchanges, and its idle connections are closed. */
    void remove(const engine_target_pointer& target, target_change change);

private:
    void add(const forwarding_target& listed);
    bool is_evacuated(const data_center_id& data_center) const;

    forwarding_core& m_core;
    part_dispatcher& m_dispatcher;
    exchange_losses& m_losses;
    limit_tracker& m_limits;
};

} // namespace tamarack
