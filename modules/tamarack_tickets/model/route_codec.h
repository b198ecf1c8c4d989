#pragma once

#include "object_reader.h"
#include "route_table.h"

#include <json/value.h>

namespace tamarack {

/** JSON codec of a route table. Internal to the module. */
Json::Value encode_route_table(const route_table& value);

/** @return the table; faults are added to the reader's list */
route_table read_route_table(object_reader& reader);

} // namespace tamarack
