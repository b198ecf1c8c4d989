#include "route_index.h"

#include <algorithm>

namespace tamarack {

route_index::route_index(std::shared_ptr<const route_table> table) : m_table(std::move(table)) {
    for (const route& item : m_table->routes) {
        m_by_authority[item.authority].push_back(&item);
    }
    for (auto& [authority, routes] : m_by_authority) {
        std::sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
}

const route* route_index::find(std::string_view authority, std::string_view path) const {
    const auto found = m_by_authority.find(std::string{authority});
    if (found == m_by_authority.end()) {
        return nullptr;
    }
    const auto matching = std::find_if(found->second.begin(), found->second.end(), [path](const route* item) {
        return path.substr(0, item->prefix.size()) == item->prefix;
    });
    return matching == found->second.end() ? nullptr : *matching;
}

} // namespace tamarack
