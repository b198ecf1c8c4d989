#include "target_index.h"

#include <algorithm>

namespace tamarack {

namespace {

template <typename Key, typename Holders>
void remove_from(std::map<Key, Holders>& index, const Key& key, const target_id& target) {
    const auto found = index.find(key);
    if (found != index.end() && found->second.erase(target) > 0 && found->second.empty()) {
        index.erase(found);
    }
}

} // namespace

void target_index::add(const announcement& value, bool alive) {
    m_by_service[value.service].insert(value.target);
    if (alive) {
        m_by_address[value.address].insert_or_assign(value.target, value.incarnation);
    }
}

void target_index::remove(const announcement& value) {
    remove_from(m_by_service, value.service, value.target);
    remove_from(m_by_address, value.address, value.target);
}

const std::set<target_id>* target_index::of_service(const service_id& service) const {
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? nullptr : &found->second;
}

bool target_index::address_taken(const announcement& value) const {
    const auto found = m_by_address.find(value.address);
    if (found == m_by_address.end()) {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& holder) { return holder.first != value.target; });
}

bool target_index::owns_address(const announcement& value) const {
    const auto found = m_by_address.find(value.address);
    if (found == m_by_address.end()) {
        return false;
    }
    const auto owner =
        std::max_element(found->second.begin(), found->second.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    return owner->first == value.target;
}

std::map<target_id, incarnation_id> target_index::others_at(const announcement& value) const {
    const auto found = m_by_address.find(value.address);
    std::map<target_id, incarnation_id> others;
    if (found != m_by_address.end()) {
        others = found->second;
        others.erase(value.target);
    }
    return others;
}

} // namespace tamarack
