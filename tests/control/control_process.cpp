#include "control_process.h"

#include <algorithm>
#include <utility>

namespace tamarack {

control_process::control_process(event_queue& events, random_source& random, host_id self,
                                 control_options options, drifting_clock clock, control_process_hooks hooks)
    : m_events(events), m_random(random), m_options(options), m_clock(clock), m_hooks(std::move(hooks)),
      m_disk(member_id{std::move(self), incarnation_id{random.next() | 1U}}) {}

void control_process::start() {
    ++m_generation;
    m_node = std::make_unique<control_node>(m_disk.owner(), m_disk.content(), m_options,
                                            random_source{m_random.next()}, local_now());
    perform(m_node->start(local_now()));
}

void control_process::crash() {
    ++m_generation;
    m_node.reset();
    m_timer_at = time_point::max();
    m_disk.crash(m_random);
}

void control_process::lose_disk() {
    crash();
    m_disk.empty(m_random);
}

void control_process::bootstrap(std::vector<member_id> voters) {
    auto begun = m_node->bootstrap(local_now(), std::move(voters));
    require_invariant(succeeded(begun), "the first bootstrap succeeds");
    perform(value_of(std::move(begun)));
}

void control_process::change_voters(std::vector<member_id> wanted) {
    auto begun = m_node->change_voters(local_now(), std::move(wanted));
    if (succeeded(begun)) {
        perform(value_of(std::move(begun)));
    }
}

void control_process::on_raft(const raft_envelope& envelope) {
    if (is_up()) {
        perform(m_node->on_raft_message(local_now(), envelope));
    }
}

void control_process::on_control(const control_message& message) {
    if (is_up()) {
        perform(m_node->on_control_message(local_now(), wall(), message));
    }
}

void control_process::submit(std::uint64_t operation, const ticket& candidate) {
    if (is_up()) {
        perform(m_node->submit_ticket(local_now(), wall(), operation, candidate));
    }
}

void control_process::order(std::uint64_t operation, const evacuation_order& order) {
    if (is_up()) {
        perform(m_node->submit_order(local_now(), wall(), operation, order));
    }
}

void control_process::perform(control_actions actions) {
    const host_id self = m_disk.owner().host;
    for (auto& action : actions) {
        if (const auto* raft = std::get_if<send_raft_message>(&action)) {
            m_hooks.send_raft(self, raft->envelope);
        } else if (const auto* control = std::get_if<send_control_message>(&action)) {
            m_hooks.send_control(self, control->to, control->message);
        } else if (const auto* change = std::get_if<store_change>(&action)) {
            store(change->change);
        } else if (const auto* answer = std::get_if<answer_ticket>(&action)) {
            m_hooks.answer(self, answer->operation, answer->answer);
        } else if (const auto* ordered = std::get_if<answer_order>(&action)) {
            m_hooks.order_answer(self, ordered->operation, ordered->answer);
        }
    }
    schedule_timer();
}

void control_process::store(const persist_change& change) {
    m_disk.write(change);
    m_last_sync = std::max(m_last_sync, m_events.now()) + m_random.between(100us, 3ms);
    m_events.at(m_last_sync, [this, generation = m_generation, number = change.number] {
        if (generation == m_generation) {
            m_disk.sync();
            perform(m_node->on_persisted(local_now(), number));
        }
    });
}

void control_process::schedule_timer() {
    const time_point due = std::max(m_clock.real(m_node->next_timer()), m_events.now() + 1us);
    if (due >= m_timer_at && m_timer_at > m_events.now()) {
        return;
    }
    m_timer_at = due;
    m_events.at(due, [this, generation = m_generation, due] {
        if (generation == m_generation && due == m_timer_at) {
            m_timer_at = time_point::max();
            perform(m_node->on_timer(local_now(), wall()));
        }
    });
}

wall_time control_process::wall() const {
    return std::chrono::duration_cast<wall_time>(m_events.now().time_since_epoch()) + wall_time{1'000'000};
}

} // namespace tamarack
