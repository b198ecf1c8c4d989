#pragma once

#include "../placement/placement.h"
#include "forwarding_core.h"

#include <vector>

namespace tamarack {

/** Targets that could take a first exchange now, and what is known about them, in the same order. */
struct placement_choice {
    std::vector<engine_target_pointer> targets;
    std::vector<placement_candidate> candidates;
};

/**
 * Applies the fraction that locality_controller determines to the first exchanges of each service.
 *
 * Internal to the module.
 */
class locality_router {
public:
    explicit locality_router(forwarding_core& core) : m_core(core) {}

    /** @return whether first exchanges are routed by the fraction of their service */
    bool is_in_use() const;
    /**
     * Removes the targets on the side that the next first exchange of a service doesn't use. Keeps all if the
     * service has no near targets, and the far ones if no near one can take the exchange now.
     *
     * @return whether an available near target lacks an idle connection
     */
    bool select_side(engine_service& service, placement_choice& choice, const placement_demand& demand);
    /** A first exchange was sent. */
    void on_first_sent(const engine_target& target);
    /** A target replied to an exchange. */
    void on_reply(const engine_connection& held, const target_reply& reply);
    /** An exchange ended without a reply. @param failed  by a fault; otherwise this host closed it */
    void on_unanswered(const engine_connection& held, bool failed);

private:
    void review(engine_service& service);
    void observe(const engine_connection& held, bool failed, const std::optional<target_load>& load);

    forwarding_core& m_core;
    bool m_both_sides = false; ///< targets on both sides could take the exchange that select_side saw last
};

} // namespace tamarack
