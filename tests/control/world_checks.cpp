#include "world_checks.h"

#include <algorithm>
#include <set>

namespace tamarack {

namespace {

constexpr duration in_force_bound = 6s;
constexpr replica_share replica_limit{5, 40};

std::string text_of(ticket_number number) {
    return std::to_string(number.value);
}

replica_share share_in_use(control_client& client, const service_id& service, const host_id& host) {
    const auto share_in = [&](const assignment& value) {
        const auto found = value.services.find(service);
        return found == value.services.end()
                   ? replica_share{}
                   : share_of({service, shard_id{"s0"}, 0}, replica_limit, found->second, host);
    };
    return share_during_change(share_in(client.assigned_before()), share_in(client.assigned()),
                               client.assignment_settled());
}

} // namespace

void world_checks::on_ticket_answer(time_point now, const ticket& candidate,
                                    const outcome<ticket_answer>& answer) {
    if (!succeeded(answer)) {
        return;
    }
    const ticket_answer& given = value_of(answer);
    m_accepted_at.emplace(given.latest, now);
    if (given.verdict == ticket_verdict::accepted && !m_accepted_answers.insert(given.number).second) {
        add("ticket " + text_of(given.number) + " was accepted twice");
    }
    if (given.verdict == ticket_verdict::stale && m_accepted_at.contains(given.number)) {
        add("ticket " + text_of(given.number) + " was called stale though it had been accepted");
    }
    if (given.verdict == ticket_verdict::refused) {
        add("a good ticket was refused: " + given.faults.front().problem);
    }
    check_content(candidate, given);
}

void world_checks::check_content(const ticket& candidate, const ticket_answer& answer) {
    if (answer.accepted_content.empty()) {
        return;
    }
    const digest& known = m_contents.emplace(answer.number, answer.accepted_content).first->second;
    if (known != answer.accepted_content) {
        add("answers about ticket " + text_of(answer.number) + " name two contents");
    }
    const bool same = digest_of_ticket(candidate) == answer.accepted_content;
    if (same == (answer.verdict == ticket_verdict::conflict)) {
        add("the verdict on ticket " + text_of(answer.number) + " is untrue");
    }
}

void world_checks::on_run(const claim& ran) {
    if (++m_runs[ran.key] > 1) {
        add("key " + ran.key.value() + " ran twice");
    }
}

void world_checks::on_caller_answered(const claim& asked, const claim_answer& answer) {
    const bool reported_not_run =
        answer.verdict == claim_verdict::finished && answer.result == run_result::not_run;
    if (reported_not_run && m_runs.contains(asked.key)) {
        add("key " + asked.key.value() + " was reported as not run though it ran");
    }
}

void world_checks::sample(time_point now, std::vector<std::unique_ptr<control_process>>& controls,
                          std::vector<std::unique_ptr<entry_process>>& entries) {
    for (auto& control : controls) {
        if (!control->leads()) {
            continue;
        }
        const ticket_number latest = control->node().state().tickets().current().number;
        m_accepted_at.emplace(latest, now);
        const auto force = control->node().ticket_rollout(control->local_now(), latest);
        if (force && force->in_force && latest > m_in_force) {
            m_in_force = latest;
            if (const auto accepted = m_accepted_at.find(latest); accepted != m_accepted_at.end()) {
                m_reports.push_back(now - accepted->second);
            }
        }
    }
    check_serving(now, entries);
    check_shares(entries);
}

void world_checks::check_serving(time_point now, std::vector<std::unique_ptr<entry_process>>& entries) {
    ticket_number oldest_served{UINT64_MAX};
    for (auto& entry : entries) {
        if (!entry->may_serve()) {
            continue;
        }
        const ticket_number serving = entry->client().current().number;
        oldest_served = std::min(oldest_served, serving);
        if (serving < m_in_force) {
            add(entry->self().value() + " serves " + text_of(serving) + " though " + text_of(m_in_force) +
                " was reported in force");
        }
    }
    for (auto item = m_accepted_at.upper_bound(m_served_everywhere); item != m_accepted_at.end(); ++item) {
        if (oldest_served < item->first && now > item->second + in_force_bound) {
            add("ticket " + text_of(item->first) + " was not in force after 6 s");
        }
        if (oldest_served >= item->first) {
            m_served_everywhere = item->first;
            m_spreads.push_back(now - item->second);
        }
    }
}

void world_checks::check_shares(std::vector<std::unique_ptr<entry_process>>& entries) {
    std::map<service_id, replica_share> sums;
    for (auto& entry : entries) {
        if (!entry->may_serve()) {
            continue;
        }
        for (const auto& [service, hosts] : entry->client().assigned().services) {
            const replica_share share = share_in_use(entry->client(), service, entry->self());
            sums[service].slots += share.slots;
            sums[service].connections += share.connections;
        }
    }
    for (const auto& [service, sum] : sums) {
        if (sum.slots > replica_limit.slots || sum.connections > replica_limit.connections) {
            add("hosts together use " + std::to_string(sum.slots) + " slots of " + service.value());
        }
    }
}

ticket_number world_checks::latest_accepted() const {
    return m_accepted_at.empty() ? ticket_number{} : m_accepted_at.rbegin()->first;
}

} // namespace tamarack
