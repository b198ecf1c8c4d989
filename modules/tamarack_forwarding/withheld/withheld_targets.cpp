#include "withheld_targets.h"

namespace tamarack {

void withheld_targets::on_leaving(const target_id& target, incarnation_id incarnation) {
    entry_of(target, incarnation).left = true;
}

bool withheld_targets::has_left(const target_id& target, incarnation_id incarnation) const {
    const entry* found = find(target, incarnation);
    return found != nullptr && found->left;
}

void withheld_targets::save_backoff(const target_id& target, incarnation_id incarnation,
                                    const target_backoff& backoff) {
    entry_of(target, incarnation).backoff = backoff;
}

target_backoff withheld_targets::backoff_of(const target_id& target, incarnation_id incarnation) const {
    const entry* found = find(target, incarnation);
    return found == nullptr ? target_backoff{} : found->backoff;
}

void withheld_targets::save_limit(const target_id& target, incarnation_id incarnation,
                                  const request_limit& limit) {
    entry_of(target, incarnation).limit = limit;
}

std::optional<request_limit> withheld_targets::limit_of(const target_id& target,
                                                        incarnation_id incarnation) const {
    const entry* found = find(target, incarnation);
    return found == nullptr ? std::nullopt : found->limit;
}

withheld_targets::entry& withheld_targets::entry_of(const target_id& target, incarnation_id incarnation) {
    const auto [found, is_new] = m_entries.try_emplace(target);
    if (is_new) {
        m_order.push_back(target);
    }
    if (is_new || found->second.incarnation != incarnation) {
        found->second = entry{incarnation, false, {}, {}};
    }
    if (m_entries.size() > max_entries) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
    return found->second;
}

const withheld_targets::entry* withheld_targets::find(const target_id& target,
                                                      incarnation_id incarnation) const {
    const auto found = m_entries.find(target);
    const bool same = found != m_entries.end() && found->second.incarnation == incarnation;
    return same ? &found->second : nullptr;
}

} // namespace tamarack
