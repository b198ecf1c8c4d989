#include "failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

void failure_detector::push_news(time_point now, target_registry& registry) {
    answer_syncs(now, registry);
    if (m_next_push > now) {
        return;
    }
    m_next_push = time_point::max();
    greet_newcomers(registry);
    if (!m_state.news().has_unpushed()) {
        return;
    }
    if (m_state.spread() == news_spread::relayed) {
        push_relayed(registry);
        return;
    }
    pushed_news news = m_state.compose_for_push(registry, m_options.news_in_message);
    spread(choose_hosts(m_state.hosts().running(), pushes(), {}, m_random), std::move(news.everyone));
}

void failure_detector::push_relayed(target_registry& registry) {
    pushed_news news = m_state.compose_for_push(registry, m_options.relayed_in_message);
    const update_relays& relays = m_state.relays();
    if (!relays.relays()) {
        spread(relays.receivers(update_scope::everyone, m_random), std::move(news.everyone));
        return;
    }
    spread(relays.others(), news.everyone);
    membership_updates near = std::move(news.everyone);
    near.hosts.insert(near.hosts.end(), news.own_data_center.hosts.begin(), news.own_data_center.hosts.end());
    near.targets.insert(near.targets.end(), news.own_data_center.targets.begin(),
                        news.own_data_center.targets.end());
    spread(relays.members(), std::move(near));
}

void failure_detector::spread(const std::vector<host_id>& to, membership_updates news) {
    multicast_membership action;
    for (const host_id& host : to) {
        const host_record* receiver = m_state.hosts().find(host);
        if (receiver != nullptr) {
            action.to.push_back({host, receiver->hosts_address});
        }
    }
    if (action.to.empty() || news.empty()) {
        return;
    }
    action.push = update_push{m_state.self().host, std::move(news)};
    m_actions.emplace_back(std::move(action));
}

/** Bounds the size of each message: what a relay tells is read by small hosts between callers' requests. */
void failure_detector::greet_as_relay(const std::vector<host_id>& new_hosts,
                                      const target_registry& registry) {
    std::vector<host_id> greeted;
    for (const host_id& new_host : new_hosts) {
        const host_record* record = m_state.hosts().find(new_host);
        if (record != nullptr && m_state.relays().greets(*record)) {
            greeted.push_back(new_host);
        }
    }
    if (greeted.empty()) {
        return;
    }
    membership_updates whole = m_state.whole_state(registry);
    spread(greeted, {std::move(whole.hosts), {}});
    for (std::size_t begin = 0; begin < whole.targets.size(); begin += m_options.relayed_in_message) {
        const std::size_t end = std::min(begin + m_options.relayed_in_message, whole.targets.size());
        spread(greeted, {{},
                         {whole.targets.begin() + static_cast<std::ptrdiff_t>(begin),
                          whole.targets.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
}

void failure_detector::greet_newcomers(const target_registry& registry) {
    const std::vector<host_id> hosts = m_newcomers.take();
    if (m_state.spread() == news_spread::relayed) {
        greet_as_relay(hosts, registry);
    }
    if (m_state.spread() != news_spread::direct) {
        return;
    }
    for (const host_id& new_host : hosts) {
        membership_updates told;
        told.hosts.push_back(m_state.self());
        for (target_record& record : registry.told_to_newcomer(recalls_for(new_host))) {
            told.targets.push_back(std::move(record));
            if (told.targets.size() == m_options.news_in_message) {
                send(new_host, update_push{m_state.self().host, std::exchange(told, {})});
            }
        }
        send(new_host, update_push{m_state.self().host, std::move(told)});
    }
}

/** One control host tells a new host what was restored: the first by rendezvous hashing of those known to
 * run. */
bool failure_detector::recalls_for(const host_id& new_host) const {
    const std::uint64_t seed = stable_hash(new_host.value());
    const std::uint64_t own = stable_hash(m_state.self().host.value(), seed);
    const auto& peers = m_state.hosts().peers();
    return std::ranges::none_of(peers, [&](const auto& item) {
        const host_record& other = item.second.record;
        return other.control && is_running(other.state) && other.host != new_host &&
               stable_hash(other.host.value(), seed) < own;
    });
}

std::size_t failure_detector::pushes() const {
    if (m_state.spread() == news_spread::direct) {
        return m_state.hosts().running().size();
    }
    const double hosts = static_cast<double>(m_state.hosts().running().size() + 1);
    return m_options.push_fanout + static_cast<std::size_t>(std::ceil(std::log(hosts)));
}

} // namespace tamarack
