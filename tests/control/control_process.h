#pragma once

#include "consensus/fake_disk.h"
#include "event_queue.h"

#include <tamarack_control/tamarack_control.h>

#include <functional>
#include <memory>

namespace tamarack {

/** Callbacks of a control process to its environment. */
struct control_process_hooks {
    std::function<void(const host_id& from, const raft_envelope&)> send_raft;
    std::function<void(const host_id& from, const host_id& to, const control_message&)> send_control;
    std::function<void(const host_id& from, std::uint64_t operation, const outcome<ticket_answer>&)> answer;
    std::function<void(const host_id& from, std::uint64_t operation, const outcome<done>&)> order_answer;
};

/** The process of a control host on a fake disk: starts, crashes, and can lose its folder. */
class control_process {
public:
    control_process(event_queue& events, random_source& random, host_id self, control_options options,
                    drifting_clock clock, control_process_hooks hooks);

    void start();
    void crash();
    /** Crashes and empties the folder. */
    void lose_disk();
    bool is_up() const { return m_node != nullptr; }
    void bootstrap(std::vector<member_id> voters);
    void change_voters(std::vector<member_id> wanted);

    void on_raft(const raft_envelope& envelope);
    void on_control(const control_message& message);
    void submit(std::uint64_t operation, const ticket& candidate);
    void order(std::uint64_t operation, const evacuation_order& order);

    /** @return the node; only while the process is up */
    control_node& node() { return *m_node; }
    const member_id& member() const { return m_disk.owner(); }
    time_point local_now() const { return m_clock.local(m_events.now()); }
    bool leads() const { return is_up() && m_node->report(local_now()).role == raft_role::leader; }

private:
    void perform(control_actions actions);
    void store(const persist_change& change);
    void schedule_timer();
    wall_time wall() const;

    event_queue& m_events;
    random_source& m_random;
    control_options m_options;
    drifting_clock m_clock;
    control_process_hooks m_hooks;
    fake_disk m_disk;
    std::unique_ptr<control_node> m_node;
    std::uint64_t m_generation = 0; ///< number of starts and crashes, to recognise outdated events
    time_point m_last_sync{};
    time_point m_timer_at = time_point::max();
};

} // namespace tamarack
