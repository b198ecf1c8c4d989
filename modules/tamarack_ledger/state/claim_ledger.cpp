#include "claim_ledger.h"

#include <algorithm>

namespace tamarack {

namespace {

wall_time to_wall_time(duration value) {
    return std::chrono::duration_cast<wall_time>(value);
}

bool same_attempt(const claim& left, const claim& right) {
    return left.attempt == right.attempt && left.host == right.host && left.incarnation == right.incarnation;
}

claim_answer answer_with_verdict(claim_verdict verdict) {
    claim_answer answer;
    answer.verdict = verdict;
    return answer;
}

/** Answer to a withdrawn attempt: it was refused or reported as not run before, so it is never granted. */
claim_answer withdrawn_answer() {
    claim_answer answer;
    answer.verdict = claim_verdict::finished;
    answer.result = run_result::not_run;
    return answer;
}

} // namespace

claim_ledger::claim_ledger(ledger_limits limits) : m_limits(limits), m_withdrawn(limits.withdrawn) {}

claim_answer claim_ledger::apply(const claim& wanted, wall_time proposed_at) {
    advance(proposed_at);
    if (m_limits.protections.refuse_expired && is_expired(wanted)) {
        return answer_with_verdict(claim_verdict::expired);
    }
    const auto found = m_entries.find({wanted.service, wanted.key});
    if (found == m_entries.end()) {
        return insert(wanted);
    }
    const claim& accepted = found->second.claimed;
    const bool differs = accepted.content != wanted.content || accepted.issued_at != wanted.issued_at;
    if (differs && m_limits.protections.compare_content) {
        claim_answer answer = answer_with_verdict(claim_verdict::conflict);
        answer.accepted_content = accepted.content;
        return answer;
    }
    return decide_existing(found->second, wanted);
}

void claim_ledger::apply(const claim_result& ended, wall_time proposed_at) {
    advance(proposed_at);
    if (ended.result == run_result::not_run) {
        withdraw({ended.service, ended.key, ended.attempt});
    }
    const auto found = m_entries.find({ended.service, ended.key});
    if (found == m_entries.end() || found->second.claimed.attempt != ended.attempt) {
        return;
    }
    ledger_entry& entry = found->second;
    if (entry.ended && entry.result != run_result::unknown) {
        return;
    }
    const claim_result bounded = with_bounded_reply(ended);
    entry.ended = true;
    entry.result = bounded.result;
    entry.reply = bounded.reply;
    entry.reply_is_digest = bounded.reply_is_digest;
}

std::optional<claim_answer> claim_ledger::find(const service_id& service, const idempotency_key& key) const {
    const auto found = m_entries.find({service, key});
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return answer_of(found->second);
}

std::optional<claim> claim_ledger::open_claim(const service_id& service, const idempotency_key& key) const {
    const auto found = m_entries.find({service, key});
    if (found == m_entries.end() || found->second.ended) {
        return std::nullopt;
    }
    return found->second.claimed;
}

void claim_ledger::advance(wall_time proposed_at) {
    m_now = std::max(m_now, proposed_at);
    const wall_time oldest = m_now - to_wall_time(m_limits.retention);
    while (!m_by_issue.empty() && m_by_issue.begin()->first < oldest) {
        m_entries.erase(m_by_issue.begin()->second);
        m_by_issue.erase(m_by_issue.begin());
    }
    m_withdrawn.forget_expired(m_now);
}

void claim_ledger::withdraw(const attempt_id& attempt) {
    const duration remembered = m_limits.retention + m_limits.future_tolerance;
    m_withdrawn.add(attempt, m_now + to_wall_time(remembered));
}

bool claim_ledger::is_expired(const claim& wanted) const {
    const bool old = wanted.issued_at < m_now - to_wall_time(m_limits.retention);
    return old || wanted.issued_at > m_now + to_wall_time(m_limits.future_tolerance);
}

claim_answer claim_ledger::insert(const claim& wanted) {
    if (m_withdrawn.contains({wanted.service, wanted.key, wanted.attempt})) {
        return withdrawn_answer();
    }
    if (m_entries.size() >= m_limits.entries) {
        withdraw({wanted.service, wanted.key, wanted.attempt});
        return answer_with_verdict(claim_verdict::full);
    }
    const entry_key key{wanted.service, wanted.key};
    m_by_issue.emplace(wanted.issued_at, key);
    m_entries[key].claimed = wanted;
    return answer_with_verdict(claim_verdict::granted);
}

claim_answer claim_ledger::decide_existing(ledger_entry& entry, const claim& wanted) {
    if (same_attempt(entry.claimed, wanted)) {
        return entry.ended ? answer_of(entry) : answer_with_verdict(claim_verdict::granted);
    }
    const bool keep_unknown = m_limits.protections.keep_unknown;
    if (!entry.ended && keep_unknown) {
        withdraw({wanted.service, wanted.key, wanted.attempt});
        return answer_with_verdict(claim_verdict::running);
    }
    if (entry.ended && entry.result == run_result::answered) {
        return answer_of(entry);
    }
    if (entry.ended && entry.result == run_result::unknown && keep_unknown) {
        return answer_of(entry);
    }
    return grant(entry, wanted);
}

claim_answer claim_ledger::grant(ledger_entry& entry, const claim& wanted) {
    if (m_withdrawn.contains({wanted.service, wanted.key, wanted.attempt})) {
        return withdrawn_answer();
    }
    require_invariant(entry.ended && entry.result == run_result::not_run,
                      "a key is granted to another attempt only after the previous one ended as not run");
    entry = ledger_entry{};
    entry.claimed = wanted;
    return answer_with_verdict(claim_verdict::granted);
}

claim_answer claim_ledger::answer_of(const ledger_entry& entry) {
    claim_answer answer;
    answer.verdict = entry.ended ? claim_verdict::finished : claim_verdict::running;
    answer.result = entry.result;
    answer.reply = entry.reply;
    answer.reply_is_digest = entry.reply_is_digest;
    return answer;
}

} // namespace tamarack
