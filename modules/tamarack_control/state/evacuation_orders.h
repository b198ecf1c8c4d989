#pragma once

#include <tamarack_base/tamarack_base.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <set>

namespace tamarack {

/** An operator's order to evacuate a data centre, or the withdrawal of one. */
struct evacuation_order {
    data_center_id data_center;
    bool active = true; ///< false: the order is withdrawn

    bool operator==(const evacuation_order&) const = default;
};

/** The data centres to whose targets no host sends new exchanges, by order of the operators. */
struct evacuation_orders {
    std::uint64_t epoch = 0; ///< grows by one with each change, and never decreases
    std::set<data_center_id> data_centers;

    /** Applies an order. One that is in force already changes nothing. */
    void apply(const evacuation_order& order);

    /** @return whether applying an order to these changes them */
    bool is_changed_by(const evacuation_order& order) const;

    bool operator==(const evacuation_orders&) const = default;
};

/** Maximum number of evacuated data centres: deployments whose settings don't name their data centres accept
 * any name, and each order is kept until it is withdrawn. */
inline constexpr std::size_t max_evacuated_data_centers = 100;

Json::Value encode_evacuation_order(const evacuation_order& value);
outcome<evacuation_order> decode_evacuation_order(const Json::Value& json);

Json::Value encode_evacuation_orders(const evacuation_orders& value);
outcome<evacuation_orders> decode_evacuation_orders(const Json::Value& json);

} // namespace tamarack
