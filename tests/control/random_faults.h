#pragma once

#include "control_world.h"

namespace tamarack {

/** Drives a control plane with racing operators, retransmitting callers and random faults. */
class random_faults {
public:
    explicit random_faults(control_world& world) : m_world(world) {}

    /** Lets operators, callers and faults act every 100 ms for the given time. */
    void run(duration time);

    /** Sends each key again and checks that none stays undecided. */
    void check_keys();

private:
    void submit_racing_tickets();
    void send_requests();
    void order_evacuations();
    void disturb_control();
    void disturb_entry();
    void disturb_network();
    bool all_members_settled();
    std::size_t random_control_host() { return m_world.random().below(m_world.control_count()); }
    std::size_t random_entry_host() { return m_world.random().below(m_world.entry_count()); }
    bool chance(double probability) { return m_world.random().chance(probability); }

    control_world& m_world;
    std::size_t m_keys = 0;
};

} // namespace tamarack
