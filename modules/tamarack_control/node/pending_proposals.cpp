#include "pending_proposals.h"

#include <utility>

namespace tamarack {

namespace {

/** @return the host's operation that a waiter waits for, if any */
std::optional<host_operation> operation_of(const proposal_waiter& waiter) {
    if (const auto* asked = std::get_if<claim_waiter>(&waiter)) {
        return host_operation{asked->from, asked->operation};
    }
    if (const auto* reported = std::get_if<result_waiter>(&waiter)) {
        return host_operation{reported->from, reported->operation};
    }
    return std::nullopt;
}

} // namespace

void pending_proposals::add(const proposal_position& place, proposal_waiter waiter) {
    if (auto operation = operation_of(waiter)) {
        m_operations.insert(std::move(*operation));
    }
    m_own_count += std::holds_alternative<own_waiter>(waiter) ? 1 : 0;
    m_waiting.insert_or_assign(place.index, pending_proposal{place.term, std::move(waiter)});
}

std::optional<settled_proposal> pending_proposals::take(const log_entry& applied) {
    auto node = m_waiting.extract(applied.index);
    if (node.empty()) {
        return std::nullopt;
    }
    proposal_waiter& waiter = node.mapped().waiter;
    if (const auto operation = operation_of(waiter)) {
        m_operations.erase(*operation);
    }
    m_own_count -= std::holds_alternative<own_waiter>(waiter) ? 1 : 0;
    return settled_proposal{std::move(waiter), node.mapped().term == applied.term};
}

std::vector<proposal_waiter> pending_proposals::remove_all() {
    std::vector<proposal_waiter> result;
    for (auto& [index, item] : m_waiting) {
        result.push_back(std::move(item.waiter));
    }
    m_waiting.clear();
    m_operations.clear();
    m_own_count = 0;
    return result;
}

bool pending_proposals::holds(const host_id& from, std::uint64_t operation) const {
    return m_operations.contains({from, operation});
}

} // namespace tamarack
