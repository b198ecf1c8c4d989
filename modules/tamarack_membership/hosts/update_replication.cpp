#include "update_replication.h"

#include <algorithm>

namespace tamarack {

void update_replication::begin(time_point now, const target_record& record, std::vector<host_id> candidates,
                               completion completed) {
    require_invariant(!candidates.empty(), "a record is replicated to other hosts");
    const auto same =
        std::ranges::find_if(m_pending, [&](const auto& item) { return item.second.record == record; });
    if (same != m_pending.end()) {
        same->second.completions.push_back(std::move(completed));
        return;
    }
    const std::uint64_t number = m_next_number++;
    pending_record& added = m_pending[number];
    added.record = record;
    added.missing = std::min(m_options.copies, candidates.size());
    added.unasked = std::move(candidates);
    std::ranges::reverse(added.unasked);
    added.ends_at = now + m_options.timeout;
    added.completions.push_back(std::move(completed));
    ask_further_hosts(now, number, added);
}

void update_replication::ask_further_hosts(time_point now, std::uint64_t number, pending_record& pending) {
    for (std::size_t count = 0; count < pending.missing && !pending.unasked.empty(); ++count) {
        const host_id to = std::move(pending.unasked.back());
        pending.unasked.pop_back();
        pending.asked.push_back(to);
        m_requests.push_back({number, to, pending.record});
    }
    pending.retry_at = pending.unasked.empty() ? time_point::max() : now + m_options.retry_interval;
}

void update_replication::on_confirmation(std::uint64_t number, const host_id& host) {
    const auto found = m_pending.find(number);
    if (found == m_pending.end() || std::erase(found->second.asked, host) == 0) {
        return;
    }
    if (--found->second.missing > 0) {
        return;
    }
    const std::vector<completion> completions = std::move(found->second.completions);
    m_pending.erase(found);
    complete(completions, done{});
}

void update_replication::on_timer(time_point now) {
    std::vector<completion> expired;
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        pending_record& pending = item->second;
        if (pending.ends_at <= now) {
            std::ranges::move(pending.completions, std::back_inserter(expired));
            item = m_pending.erase(item);
            continue;
        }
        if (pending.retry_at <= now) {
            ask_further_hosts(now, item->first, pending);
        }
        ++item;
    }
    complete(expired, error{error_code::unavailable, "too few other hosts have confirmed in time"});
}

time_point update_replication::next_timer() const {
    time_point next = time_point::max();
    for (const auto& [number, pending] : m_pending) {
        next = std::min({next, pending.ends_at, pending.retry_at});
    }
    return next;
}

void update_replication::complete(const std::vector<completion>& completions, const outcome<done>& result) {
    for (const completion& completed : completions) {
        completed(result);
    }
}

} // namespace tamarack
