#pragma once

#include "../model/ticket.h"
#include "fault_list.h"

namespace tamarack {

/** Checks one object in isolation, without its references to other objects. Internal to the module. */
void check_service(const std::string& path, const service_definition& service, fault_list& faults);
void check_limits(const std::string& path, const replica_limits& limits, fault_list& faults);
void check_rule(const std::string& path, const routing_rule& rule, fault_list& faults);
void check_host_order(const std::string& path, const host_order& order, fault_list& faults);

/** @return the path of a list's item, such as "services[0]" */
std::string item_path(const std::string& list, std::size_t index);

} // namespace tamarack
