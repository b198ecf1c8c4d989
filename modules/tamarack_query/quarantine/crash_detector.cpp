#include "crash_detector.h"

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t max_exposed = 2;
constexpr std::size_t crashes_to_quarantine = 2;
constexpr duration mass_loss_window = 1s;
constexpr std::ptrdiff_t mass_loss_targets = 3;

} // namespace

digest quarantine_digest(const service_id& service, const std::string& body) {
    return digest_of(service.value() + '\n' + body);
}

digest request_content::quarantine_key() const {
    return body == nullptr ? content_digest : quarantine_digest(service, *body);
}

bool crash_detector::try_expose(const request_content& content) {
    content_record& entry = m_contents[content.hash];
    if (entry.exposed + entry.losses.size() >= max_exposed) {
        return false;
    }
    entry.content = content;
    ++entry.exposed;
    return true;
}

std::size_t crash_detector::exposures(std::uint64_t hash) const {
    const auto found = m_contents.find(hash);
    return found == m_contents.end() ? 0 : found->second.exposed + found->second.losses.size();
}

void crash_detector::end_exposure(std::uint64_t hash) {
    const auto found = m_contents.find(hash);
    if (found == m_contents.end()) {
        return;
    }
    require_invariant(found->second.exposed > 0, "an exposure ends only once");
    --found->second.exposed;
    erase_if_unused(hash);
}

void crash_detector::add_waiting(std::uint64_t hash, request_number request) {
    m_contents[hash].waiting.push_back(request);
}

std::vector<request_number> crash_detector::take_waiting(std::uint64_t hash) {
    const auto found = m_contents.find(hash);
    if (found == m_contents.end()) {
        return {};
    }
    std::vector<request_number> waiting;
    waiting.swap(found->second.waiting);
    erase_if_unused(hash);
    return waiting;
}

void crash_detector::on_lost(time_point now, const request_content& content, std::uint64_t replica) {
    content_record& entry = m_contents[content.hash];
    if (entry.content.body == nullptr) {
        entry.content = content;
    }
    const bool known = std::any_of(entry.losses.begin(), entry.losses.end(),
                                   [replica](const loss& seen) { return seen.replica == replica; });
    if (!known) {
        entry.losses.push_back({replica, now, false});
    }
    m_lost_replicas[replica] = now;
}

void crash_detector::on_completed(std::uint64_t hash) {
    const auto found = m_contents.find(hash);
    if (found != m_contents.end()) {
        found->second.losses.clear();
        erase_if_unused(hash);
    }
}

std::vector<std::uint64_t> crash_detector::on_target_alive(std::uint64_t replica) {
    std::vector<std::uint64_t> changed;
    if (m_lost_replicas.erase(replica) == 0) {
        return changed;
    }
    for (auto& [hash, entry] : m_contents) {
        if (std::erase_if(entry.losses, [&](const loss& seen) { return seen.replica == replica; }) > 0) {
            changed.push_back(hash);
        }
    }
    return changed;
}

std::vector<request_content> crash_detector::on_target_gone(time_point now, std::uint64_t replica) {
    std::vector<request_content> found;
    if (!m_lost_replicas.contains(replica) || is_mass_loss(now)) {
        return found;
    }
    for (auto& [hash, entry] : m_contents) {
        for (auto& seen : entry.losses) {
            seen.confirmed = seen.confirmed || seen.replica == replica;
        }
        const auto crashes = static_cast<std::size_t>(std::count_if(
            entry.losses.begin(), entry.losses.end(), [](const loss& seen) { return seen.confirmed; }));
        if (crashes >= crashes_to_quarantine) {
            found.push_back(entry.content);
        }
    }
    return found;
}

bool crash_detector::is_mass_loss(time_point now) const {
    const auto recent =
        std::count_if(m_lost_replicas.begin(), m_lost_replicas.end(),
                      [now](const auto& lost) { return lost.second + mass_loss_window > now; });
    return recent > mass_loss_targets;
}

bool crash_detector::is_suspected(std::uint64_t hash) const {
    const auto found = m_contents.find(hash);
    return found != m_contents.end() && found->second.losses.size() >= crashes_to_quarantine;
}

std::vector<std::uint64_t> crash_detector::expire(time_point now) {
    std::vector<std::uint64_t> changed;
    std::erase_if(m_lost_replicas, [now](const auto& lost) { return lost.second + loss_retention <= now; });
    for (auto& [hash, entry] : m_contents) {
        if (std::erase_if(entry.losses, [now](const loss& seen) { return seen.at + loss_retention <= now; }) >
            0) {
            changed.push_back(hash);
        }
    }
    return changed;
}

void crash_detector::erase_if_unused(std::uint64_t hash) {
    const auto found = m_contents.find(hash);
    const content_record& entry = found->second;
    if (entry.exposed == 0 && entry.losses.empty() && entry.waiting.empty()) {
        m_contents.erase(found);
    }
}

} // namespace tamarack
