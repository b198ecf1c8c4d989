#include "model_ledger.h"

namespace tamarack {

claim_answer model_ledger::on_claim(const claim& wanted) {
    claim_answer answer;
    const auto found = m_entries.find(wanted.key);
    const bool reopened = found != m_entries.end() && !found->second.running &&
                          found->second.ended.result == run_result::not_run;
    if (found == m_entries.end() || reopened) {
        m_entries[wanted.key] = {wanted, true, {}};
        answer.verdict = claim_verdict::granted;
        return answer;
    }
    const entry& existing = found->second;
    if (existing.accepted.content != wanted.content) {
        answer.verdict = claim_verdict::conflict;
        answer.accepted_content = existing.accepted.content;
        return answer;
    }
    answer.verdict = existing.running ? claim_verdict::running : claim_verdict::finished;
    answer.result = existing.ended.result;
    answer.reply = existing.ended.reply;
    return answer;
}

void model_ledger::on_result(const claim_result& ended) {
    const auto found = m_entries.find(ended.key);
    if (found != m_entries.end() && found->second.accepted.attempt == ended.attempt) {
        found->second.running = false;
        found->second.ended = ended;
    }
}

} // namespace tamarack
