#include "exchange_losses.h"

#include <utility>

namespace tamarack {

void exchange_losses::on_unreachable(const forwarding_target& target) {
    report_confirmed(m_core.crashes.on_target_unreachable(m_core.now, incarnation_of(target)));
}

void exchange_losses::on_lost(const engine_connection& held, loss_cause cause) {
    sent_content& content = *held.content;
    if (content.completed) {
        return;
    }
    const forwarding_target& target = held.target->info;
    m_core.crashes.on_exchange_lost(m_core.now, incarnation_of(target), target.address,
                                    content.content_digest(), cause);
    const crash_step step = cause == loss_cause::connection_lost ? crash_step::lost : crash_step::unanswered;
    m_core.actions.emplace_back(
        crash_evidence_report{step, content.content_digest(), content.request, target.id,
                              m_core.crashes.targets_lost_to(m_core.now, content.content_digest())});
}

void exchange_losses::report_confirmed(const std::vector<crash_evidence::confirmed_loss>& losses) {
    for (const auto& [loss, targets, newly_evident] : losses) {
        m_core.actions.emplace_back(crash_evidence_report{crash_step::confirmed, loss.content, request_id{},
                                                          loss.lost.target, targets});
        if (newly_evident) {
            m_core.actions.emplace_back(crashing_content_found{loss.content, loss.lost.target});
        }
    }
    schedule_reports();
}

void exchange_losses::schedule_reports() {
    const time_point next = m_core.crashes.next_report_at();
    if (next < m_core.crash_reports_at) {
        m_core.crash_reports_at = next;
        m_core.schedule(next, due_kind::crash_reports, 0);
    }
}

void exchange_losses::broadcast_due_losses() {
    for (crash_loss& loss : m_core.crashes.take_due_reports(m_core.now)) {
        m_core.actions.emplace_back(broadcast_crash_loss{std::move(loss)});
    }
    m_core.crash_reports_at = time_point::max();
    schedule_reports();
}

/**
 * A new process at an address means that earlier processes there have ended, with everything that ran on
 * them.
 *
 * Load pattern: a crashed target leaves its connections open and silent, like a target on a host without
 * power, and is back before any exchange with it has timed out.
 */
void exchange_losses::on_target_announced(const forwarding_target& listed) {
    for (const auto& [number, held] : m_core.connections) {
        const forwarding_target& former = held.target->info;
        if (held.content && former.address == listed.address &&
            incarnation_of(former) != incarnation_of(listed)) {
            on_lost(held, loss_cause::unanswered);
        }
    }
    report_confirmed(m_core.crashes.on_target_announced(m_core.now, listed.address, incarnation_of(listed)));
}

void exchange_losses::on_completed(sent_content& content) {
    content.completed = true;
    if (!m_core.crashes.empty()) {
        m_core.crashes.on_completed(content.content_digest());
    }
}

} // namespace tamarack
