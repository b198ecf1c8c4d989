#include "hosts_worker.h"

#include <utility>

namespace tamarack {

bool hosts_worker::post_raft(raft_envelope envelope) {
    return m_thread.try_post([this, envelope = std::move(envelope)] {
        m_links.send(address_of(envelope.to.host), raft_method, encode_envelope(envelope));
    });
}

bool hosts_worker::post_control(send_control_message message) {
    return m_thread.try_post([this, message = std::move(message)] {
        send_control(message.to, message.address, message.message);
        finish_event();
    });
}

bool hosts_worker::post_committed(shared_configuration latest) {
    return m_thread.try_post([this, latest = std::move(latest)] {
        carry_out(m_control->adopt(steady_now(), latest));
        finish_event();
    });
}

bool hosts_worker::post_announcement(announcement value,
                                     std::function<void(outcome<announcement_receipt>)> answer) {
    return m_thread.try_post([this, value = std::move(value), answer = std::move(answer)] {
        const time_point now = steady_now();
        const auto receipt = m_registry->on_announcement(now, value, m_control->current());
        if (!succeeded(receipt)) {
            answer(receipt);
        } else {
            replicate_withdrawal(now, value.target, [answer, receipt](const outcome<done>& replicated) {
                answer(succeeded(replicated) ? receipt : error_of(replicated));
            });
        }
        finish_event();
    });
}

bool hosts_worker::post_deregistration(target_id target, std::optional<incarnation_id> incarnation,
                                       std::function<void(outcome<done>)> answer) {
    return m_thread.try_post([this, target = std::move(target), incarnation, answer = std::move(answer)] {
        const time_point now = steady_now();
        const auto result = m_registry->on_deregistration(now, target, incarnation);
        if (!succeeded(result)) {
            answer(result);
        } else {
            replicate_withdrawal(now, target, answer);
        }
        finish_event();
    });
}

void hosts_worker::replicate_withdrawal(time_point now, const target_id& target,
                                        std::function<void(outcome<done>)> completed) {
    if (!m_registry->needs_replication(target)) {
        completed(done{});
        return;
    }
    const target_record record = *m_registry->find(target);
    carry_out(m_detector->replicate(
        now, target, *m_registry,
        [this, now, record, completed = std::move(completed)](const outcome<done>& replicated) {
            if (succeeded(replicated)) {
                m_registry->on_replicated(record);
            }
            const char* const result = succeeded(replicated) ? "replicated" : "not_replicated";
            m_metrics.count(counter_id::target_withdrawals_total, result);
            log_state_change(succeeded(replicated) ? log_level::info : log_level::warning, "target_withdrawn",
                             m_control->current().number,
                             {{"target", record.latest.target.value()},
                              {"service", record.latest.service.value()},
                              {"state", record.alive ? "draining" : "ended"},
                              {"result", result},
                              {"took_us", std::to_string((steady_now() - now) / 1us)}});
            completed(replicated);
        }));
}

bool hosts_worker::post_target_leaving(target_id target, incarnation_id incarnation) {
    return m_thread.try_post([this, target = std::move(target), incarnation] {
        m_registry->on_leaving(steady_now(), target, incarnation);
        finish_event();
    });
}

bool hosts_worker::post_leader(std::function<void(host_id)> answer) {
    return m_thread.try_post([this, answer = std::move(answer)] { answer(m_control->leader()); });
}

bool hosts_worker::post_commit(commit_claim claim) {
    return m_thread.try_post([this, claim = std::move(claim)] {
        carry_out(m_control->commit(steady_now(), claim.request, claim.wanted, claim.deadline));
        finish_event();
    });
}

bool hosts_worker::post_record(record_claim_result ended) {
    return m_thread.try_post([this, ended = std::move(ended)] {
        carry_out(m_control->record(steady_now(), ended.ended));
        finish_event();
    });
}

bool hosts_worker::post_crash_suspicion(broadcast_crash_suspicion found, std::function<void()> on_confirmed) {
    return m_thread.try_post([this, found = std::move(found), on_confirmed = std::move(on_confirmed)] {
        m_crash_suspicions.broadcast(steady_now(), found, other_hosts_of(found.service), on_confirmed);
        finish_event();
    });
}

bool hosts_worker::post_quarantine(const broadcast_quarantine& found) {
    return post_crash_loss({found.request, target_incarnation{}, steady_now()});
}

bool hosts_worker::post_crash_loss(crash_loss loss) {
    return m_thread.try_post([this, loss = std::move(loss)] {
        m_crashes.add(steady_now(), loss);
        for (const host_record& host : m_detector->hosts()) {
            if (host.state == host_state::alive && host.host != m_settings.host) {
                send_crash_loss(host, loss);
            }
        }
    });
}

bool hosts_worker::post_request_limit(broadcast_request_limit report) {
    return m_thread.try_post([this, report = std::move(report)] {
        const limit_statement& statement = report.statement;
        const Json::Value notice =
            encode_request_limit({report.target, statement.per_second, steady_now() - statement.heard_at});
        for (const host_record& host : m_detector->hosts()) {
            if (host.state == host_state::alive && host.host != m_settings.host) {
                m_links.send(host.hosts_address, request_limit_method, notice);
            }
        }
    });
}

bool hosts_worker::post_seeds(std::vector<seed_host> seeds) {
    return m_thread.try_post([this, seeds = std::move(seeds)] {
        m_seeds = seeds;
        update_control_hosts();
    });
}

bool hosts_worker::post_draining() {
    return m_thread.try_post([this] {
        m_leaving = true;
        carry_out(m_detector->set_draining(steady_now(), true));
        finish_event();
    });
}

bool hosts_worker::post_leave() {
    return m_thread.try_post([this] {
        const time_point now = steady_now();
        carry_out(m_control->release(now));
        carry_out(m_detector->leave(now));
    });
}

bool hosts_worker::post_overview(std::function<void(hosts_overview)> answer) {
    return m_thread.try_post([this, answer = std::move(answer)] { answer(overview()); });
}

} // namespace tamarack
