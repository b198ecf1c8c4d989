#include "ticket_register.h"

#include <algorithm>

namespace tamarack {

ticket_register::ticket_register(history_limits limits) : m_limits(limits) {}

ticket_answer ticket_register::apply(const ticket& candidate, wall_time accepted_at) {
    ticket_answer answer;
    answer.number = candidate.number;
    answer.latest = m_current->number;
    std::string text = content_text_of(candidate);
    const digest content = digest_of(text);
    if (candidate.number <= m_current->number && candidate.number.value > 0) {
        answer_known_number(content, answer);
        return answer;
    }
    answer.faults = check_ticket(candidate, *m_current);
    if (!answer.faults.empty()) {
        answer.verdict = ticket_verdict::refused;
        return answer;
    }
    require_invariant(candidate.number > m_current->number,
                      "an accepted ticket's number is above the latest");
    m_current = std::make_shared<const configuration>(apply_ticket(candidate, *m_current, content));
    add_to_history(candidate, content, std::move(text), accepted_at);
    answer.verdict = ticket_verdict::accepted;
    answer.latest = m_current->number;
    answer.accepted_content = content;
    return answer;
}

void ticket_register::answer_known_number(const digest& content, ticket_answer& answer) const {
    const auto found = std::lower_bound(
        m_history.begin(), m_history.end(), answer.number,
        [](const accepted_ticket& item, ticket_number number) { return item.number < number; });
    if (found == m_history.end() || found->number != answer.number) {
        answer.verdict = ticket_verdict::stale;
        return;
    }
    answer.accepted_content = found->content;
    if (found->content != content) {
        answer.verdict = ticket_verdict::conflict;
    } else if (answer.number == m_current->number) {
        answer.verdict = ticket_verdict::resent;
    } else {
        answer.verdict = ticket_verdict::superseded;
    }
}

void ticket_register::add_to_history(const ticket& accepted, const digest& content, std::string content_text,
                                     wall_time accepted_at) {
    std::string text =
        accepted.author.empty() ? std::move(content_text) : write_json(encode_ticket(accepted));
    m_history.push_back({accepted.number, content, accepted.author, accepted_at, std::move(text)});
    if (m_history.size() > m_limits.texts) {
        std::string& old_text = m_history[m_history.size() - m_limits.texts - 1].text;
        old_text.clear();
        old_text.shrink_to_fit();
    }
    while (m_history.size() > std::max<std::size_t>(m_limits.digests, 1)) {
        m_highest_dropped = m_history.front().number;
        m_history.pop_front();
    }
}

} // namespace tamarack
