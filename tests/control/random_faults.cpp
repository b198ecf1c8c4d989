#include "random_faults.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr duration step = 100ms;
constexpr std::uint32_t contents = 3;

std::string key_name(std::size_t index) {
    return "key" + std::to_string(index);
}

} // namespace

void random_faults::run(duration time) {
    const time_point end = m_world.events().now() + time;
    while (m_world.events().now() < end) {
        submit_racing_tickets();
        send_requests();
        order_evacuations();
        disturb_control();
        disturb_entry();
        disturb_network();
        m_world.run(step);
    }
}

/** Two operators submit the same number at once; sometimes an old number is submitted again. */
void random_faults::submit_racing_tickets() {
    if (!chance(0.1)) {
        return;
    }
    const std::uint64_t latest = m_world.checks().latest_accepted().value;
    const std::uint64_t number = chance(0.2) && latest > 0 ? 1 + m_world.random().below(latest) : latest + 1;
    const auto draw = [this] { return static_cast<std::uint32_t>(1 + m_world.random().below(contents)); };
    m_world.submit(world_ticket(number, draw()), random_control_host());
    m_world.submit(world_ticket(number, draw()), random_control_host());
}

/** Sends new keys and retransmits recent ones, each to several hosts at once. */
void random_faults::send_requests() {
    if (chance(0.3)) {
        ++m_keys;
    }
    for (int copy = 0; copy < 2 && m_keys > 0; ++copy) {
        const std::size_t age = m_world.random().below(std::min<std::size_t>(m_keys, 5));
        m_world.request(key_name(m_keys - 1 - age), random_entry_host());
    }
}

/** One operator gives one order after the other, each once the one before is acknowledged. */
void random_faults::order_evacuations() {
    if (!chance(0.1) || m_world.unacknowledged_orders() > 0) {
        return;
    }
    const data_center_id name{"d" + std::to_string(m_world.random().below(3))};
    m_world.order({name, chance(0.5)}, random_control_host());
}

void random_faults::disturb_control() {
    control_process& control = m_world.control(random_control_host());
    if (!control.is_up()) {
        if (chance(0.1)) {
            control.start();
        }
    } else if (chance(0.02)) {
        control.crash();
    } else if (chance(0.005) && all_members_settled()) {
        control.lose_disk();
        control.start();
    }
}

/**
 * @return whether the current incarnation of every control host is up, a voter at the leader, and has the
 *         leader's whole log, and there is no learner
 */
bool random_faults::all_members_settled() {
    const std::size_t leading = m_world.leader();
    if (leading == m_world.control_count()) {
        return false;
    }
    control_process& leader = m_world.control(leading);
    const control_report report = leader.node().report(leader.local_now());
    for (std::size_t index = 0; index < m_world.control_count(); ++index) {
        control_process& control = m_world.control(index);
        const auto& voters = report.members.voters;
        const bool voter = std::find(voters.begin(), voters.end(), control.member()) != voters.end();
        if (!control.is_up() || !voter || control.node().report(control.local_now()).last != report.last) {
            return false;
        }
    }
    return report.members.learners.empty();
}

void random_faults::disturb_entry() {
    entry_process& entry = m_world.entry(random_entry_host());
    if (!entry.is_up()) {
        if (chance(0.3)) {
            entry.start();
        }
    } else if (chance(0.02)) {
        entry.crash();
    }
}

void random_faults::disturb_network() {
    if (chance(0.03)) {
        m_world.isolate(m_world.control(random_control_host()).member().host, chance(0.5));
    }
    if (chance(0.03)) {
        m_world.isolate(m_world.entry(random_entry_host()).self(), chance(0.5));
    }
    if (chance(0.04)) {
        m_world.network().heal();
    }
}

void random_faults::check_keys() {
    for (std::size_t key = 0; key < m_keys; ++key) {
        m_world.request(key_name(key), random_entry_host());
    }
    m_world.run(5s);
    m_world.clear_answers();
    for (std::size_t key = 0; key < m_keys; ++key) {
        m_world.request(key_name(key), random_entry_host());
    }
    m_world.run(5s);
    for (std::size_t key = 0; key < m_keys; ++key) {
        const claim_answer* answer = m_world.answer_to(key_name(key));
        if (answer == nullptr || answer->verdict != claim_verdict::finished) {
            m_world.checks().add(key_name(key) + " stays undecided");
        }
    }
}

} // namespace tamarack
