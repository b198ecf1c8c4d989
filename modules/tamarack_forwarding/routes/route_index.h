#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** Finds the route of a request: that of its authority with the longest matching prefix. */
class route_index {
public:
    explicit route_index(std::shared_ptr<const route_table> table);

    /**
     * @param authority  host name in the request, without the port
     * @param path       without the query
     * @return the route, valid as long as the table, or nullptr
     */
    const route* find(std::string_view authority, std::string_view path) const;

    const std::shared_ptr<const route_table>& table() const { return m_table; }

private:
    std::shared_ptr<const route_table> m_table;
    std::unordered_map<std::string, std::vector<const route*>> m_by_authority; ///< longest prefix first
};

} // namespace tamarack
