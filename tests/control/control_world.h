#pragma once

#include "virtual_network.h"
#include "world_checks.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/** Size, network conditions and protections of a control plane under test. */
struct world_options {
    std::size_t control_hosts = 3;
    std::size_t entry_hosts = 4;
    std::uint64_t seed = 1;
    network_conditions conditions;
    control_options control;
    double drift = 0.01;
};

/** A complete control plane in virtual time: control hosts, entry hosts, operators, callers and a target. */
class control_world {
public:
    explicit control_world(const world_options& options);

    /** Starts every process and bootstraps the log; runs until all entry hosts know the leader. */
    void boot();
    void run(duration time);
    /** Runs until a condition holds; @return whether it held within the time */
    bool run_until(const std::function<bool()>& condition, duration max_time);

    control_process& control(std::size_t index) { return *m_controls[index]; }
    entry_process& entry(std::size_t index) { return *m_entries[index]; }
    std::size_t control_count() const { return m_controls.size(); }
    std::size_t entry_count() const { return m_entries.size(); }
    /** @return the index of the leader with the highest term, or the count when there is none */
    std::size_t leader();

    /** Sends an operator's ticket to a control host, and to others until it is decided. */
    void submit(const ticket& candidate, std::size_t control);
    /** Sends an operator's evacuation order to a control host, and to others until it is acknowledged. */
    void order(const evacuation_order& order, std::size_t control);
    /** @return the number of orders that were acknowledged to the operator */
    std::size_t acknowledged_orders() const { return m_acknowledged_orders; }
    std::size_t unacknowledged_orders() const { return m_orders.size(); }
    /** Drops the acknowledgements of orders on their way to the operator. */
    void lose_order_answers(bool lost) { m_order_answers_lost = lost; }
    /** @return whether all running entry hosts know exactly these data centres as evacuated */
    bool all_know(const std::set<data_center_id>& evacuated) const;
    /** Sends a caller's keyed request to an entry host. */
    void request(const std::string& key, std::size_t entry);
    /** @return the last answer for a key, or nothing */
    const claim_answer* answer_to(const std::string& key) const;
    void clear_answers() { m_answers.clear(); }

    /** Isolates a host from all others; with one_way, it only receives nothing. */
    void isolate(const host_id& host, bool one_way = false);

    /** Ends all faults and waits, then checks that all hosts agree. */
    void settle_and_check();

    random_source& random() { return m_random; }
    virtual_network& network() { return m_network; }
    world_checks& checks() { return m_checks; }
    event_queue& events() { return m_events; }

private:
    control_process_hooks control_hooks();
    entry_process_hooks entry_hooks();
    void deliver_control(const host_id& to, const control_message& message);
    void on_answer(const host_id& from, std::uint64_t operation, const outcome<ticket_answer>& answer);
    void on_order_acknowledged(std::uint64_t operation);
    void check_agreement();
    std::vector<host_id> all_hosts() const;

    world_options m_options;
    random_source m_random;
    event_queue m_events;
    virtual_network m_network;
    world_checks m_checks;
    std::vector<std::unique_ptr<control_process>> m_controls;
    std::vector<std::unique_ptr<entry_process>> m_entries;
    std::map<std::uint64_t, ticket> m_submitted;
    std::map<std::uint64_t, evacuation_order> m_orders;
    std::size_t m_acknowledged_orders = 0;
    std::set<data_center_id> m_evacuated; ///< by the acknowledged orders
    bool m_order_answers_lost = false;
    std::map<idempotency_key, claim_answer> m_answers;
    std::uint64_t m_next_operation = 1;
};

/** @return a ticket for the service of these tests; different slots give different contents */
ticket world_ticket(std::uint64_t number, std::uint32_t slots);

} // namespace tamarack
