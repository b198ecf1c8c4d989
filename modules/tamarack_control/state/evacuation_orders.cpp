#include "evacuation_orders.h"

namespace tamarack {

bool evacuation_orders::is_changed_by(const evacuation_order& order) const {
    return data_centers.contains(order.data_center) != order.active;
}

void evacuation_orders::apply(const evacuation_order& order) {
    if (!is_changed_by(order)) {
        return;
    }
    ++epoch;
    if (order.active) {
        data_centers.insert(order.data_center);
    } else {
        data_centers.erase(order.data_center);
    }
}

Json::Value encode_evacuation_order(const evacuation_order& value) {
    Json::Value json{Json::objectValue};
    json["data_center"] = value.data_center.value();
    json["active"] = value.active;
    return json;
}

outcome<evacuation_order> decode_evacuation_order(const Json::Value& json) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    evacuation_order value;
    value.data_center = data_center_id{reader.text("data_center")};
    reader.any("active");
    value.active = reader.flag("active", true);
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

Json::Value encode_evacuation_orders(const evacuation_orders& value) {
    Json::Value json{Json::objectValue};
    json["epoch"] = Json::Value::UInt64{value.epoch};
    Json::Value& names = json["data_centers"] = Json::Value{Json::arrayValue};
    for (const data_center_id& name : value.data_centers) {
        names.append(name.value());
    }
    return json;
}

outcome<evacuation_orders> decode_evacuation_orders(const Json::Value& json) {
    ticket_faults faults;
    object_reader reader{json, "", faults};
    evacuation_orders value;
    value.epoch = reader.number("epoch");
    for (std::string& name : reader.texts("data_centers")) {
        value.data_centers.insert(data_center_id{std::move(name)});
    }
    reader.refuse_unknown();
    if (!faults.empty()) {
        return error_of_faults(faults);
    }
    return value;
}

} // namespace tamarack
