#pragma once

#include "../model/route_table.h"
#include "fault_list.h"

namespace tamarack {

/** Checks a whole route table and reports every fault. Internal to the module. */
void check_route_table(const route_table& table, fault_list& faults);

} // namespace tamarack
