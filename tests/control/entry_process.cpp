#include "entry_process.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration claim_deadline = 1500ms;

claim_answer unknown_answer() {
    claim_answer answer;
    answer.verdict = claim_verdict::running;
    return answer;
}

} // namespace

entry_process::entry_process(event_queue& events, random_source& random, control_client_options options,
                             drifting_clock clock, entry_process_hooks hooks)
    : m_events(events), m_random(random), m_options(std::move(options)), m_clock(clock),
      m_hooks(std::move(hooks)) {}

void entry_process::start() {
    ++m_generation;
    m_options.incarnation = incarnation_id{m_random.next() | 1U};
    m_client = std::make_unique<control_client>(m_options, random_source{m_random.next()}, local_now());
    perform(m_client->on_timer(local_now()));
}

void entry_process::crash() {
    ++m_generation;
    m_client.reset();
    m_open.clear();
    m_timer_at = time_point::max();
}

void entry_process::on_control(const control_message& message) {
    if (is_up()) {
        perform(m_client->on_message(local_now(), message));
    }
}

void entry_process::request(claim wanted) {
    if (!may_serve()) {
        return;
    }
    wanted.host = m_options.self;
    wanted.incarnation = m_options.incarnation;
    wanted.attempt = m_random.next() >> 1U;
    const std::uint64_t request = m_next_request++;
    m_open[request] = wanted;
    perform(m_client->commit(local_now(), request, wanted, local_now() + claim_deadline));
}

void entry_process::perform(control_client_actions actions) {
    for (auto& action : actions) {
        if (const auto* message = std::get_if<send_to_control>(&action)) {
            m_hooks.send_control(m_options.self, message->to, message->message);
        } else if (const auto* answered = std::get_if<claim_answered>(&action)) {
            on_answered(answered->request, answered->answer);
        } else if (const auto* uncertain = std::get_if<claim_uncertain>(&action)) {
            m_hooks.answer(m_open.at(uncertain->request), unknown_answer());
            m_open.erase(uncertain->request);
        }
    }
    schedule_timer();
}

void entry_process::on_answered(std::uint64_t request, const claim_answer& answer) {
    const claim wanted = m_open.at(request);
    m_open.erase(request);
    if (answer.verdict != claim_verdict::granted) {
        m_hooks.answer(wanted, answer);
        return;
    }
    m_events.after(m_random.between(1ms, 50ms), [this, generation = m_generation, wanted] {
        if (generation == m_generation) {
            run(wanted);
        }
    });
}

/** Sends the request to the target, or gives it up before its first byte. The reply may be lost. */
void entry_process::run(const claim& granted) {
    claim_result ended{granted.service, granted.key, granted.attempt, run_result::not_run, "", false};
    if (!m_random.chance(0.2) && m_hooks.run(granted)) {
        const bool reply_lost = m_random.chance(0.2);
        ended.result = reply_lost ? run_result::unknown : run_result::answered;
        ended.reply = reply_lost ? "" : granted.key.value();
    }
    const duration reply_time = m_random.between(1ms, 300ms);
    m_events.after(reply_time, [this, generation = m_generation, granted, ended] {
        if (generation != m_generation) {
            return;
        }
        claim_answer answer;
        answer.verdict = claim_verdict::finished;
        answer.result = ended.result;
        answer.reply = ended.reply;
        m_hooks.answer(granted, answer);
        perform(m_client->record(local_now(), ended));
    });
}

void entry_process::schedule_timer() {
    const time_point due = std::max(m_clock.real(m_client->next_timer()), m_events.now() + 1us);
    if (due >= m_timer_at && m_timer_at > m_events.now()) {
        return;
    }
    m_timer_at = due;
    m_events.at(due, [this, generation = m_generation, due] {
        if (generation == m_generation && due == m_timer_at) {
            m_timer_at = time_point::max();
            perform(m_client->on_timer(local_now()));
        }
    });
}

} // namespace tamarack
