#include "exchange_losses.h"

#include <utility>

namespace tamarack {

void exchange_losses::on_unreachable(const forwarding_target& target) {
    report_confirmed(m_core.crashes.on_target_unreachable(m_core.now, incarnation_of(target)));
}

void exchange_losses::on_lost(const held_connection& held, exchange_end how) {
    sent_content& content = *held.content;
    if (content.completed) {
        return;
    }
    const forwarding_target& target = held.target->known;
    m_core.crashes.on_exchange_lost(m_core.now, incarnation_of(target), target.address, content.name(), how);
    const crash_step step = how == exchange_end::connection_lost ? crash_step::lost : crash_step::unanswered;
    m_core.out.emplace_back(
        crash_evidence_report{step, content.name(), content.request, target.id,
                              m_core.crashes.targets_lost_to(m_core.now, content.name())});
}

void exchange_losses::report_confirmed(const std::vector<crash_evidence::confirmed_loss>& losses) {
    for (const auto& [loss, targets, found] : losses) {
        m_core.out.emplace_back(crash_evidence_report{crash_step::confirmed, loss.content, request_id{},
                                                      loss.lost.target, targets});
        if (found) {
            m_core.out.emplace_back(crashing_content_found{loss.content, loss.lost.target});
        }
    }
    schedule_news();
}

void exchange_losses::schedule_news() {
    const time_point next = m_core.crashes.next_untold();
    if (next < m_core.crash_news_at) {
        m_core.crash_news_at = next;
        m_core.schedule(next, due_kind::crash_news, 0);
    }
}

void exchange_losses::tell_other_hosts() {
    for (crash_loss& loss : m_core.crashes.take_untold(m_core.now)) {
        m_core.out.emplace_back(broadcast_crash_loss{std::move(loss)});
    }
    m_core.crash_news_at = time_point::max();
    schedule_news();
}

/**
 * A target came under an address: earlier processes there have ended, with all that still runs at them.
 *
 * Load pattern: a target that crashed leaves its connections open and silent, as one on a host without power
 * does, and is back before anybody has given it up.
 */
void exchange_losses::on_address_taken(const forwarding_target& listed) {
    for (const auto& [number, held] : m_core.connections) {
        const forwarding_target& former = held.target->known;
        if (held.content && former.address == listed.address &&
            incarnation_of(former) != incarnation_of(listed)) {
            on_lost(held, exchange_end::unanswered);
        }
    }
    report_confirmed(m_core.crashes.on_address_taken(m_core.now, listed.address, incarnation_of(listed)));
}

void exchange_losses::on_completed(sent_content& content) {
    content.completed = true;
    if (!m_core.crashes.empty()) {
        m_core.crashes.on_completed(content.name());
    }
}

} // namespace tamarack
