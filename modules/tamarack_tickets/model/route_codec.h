#pragma once

#include "object_reader.h"
#include "route_table.h"

#include <json/value.h>

namespace tamarack {

/** JSON of a route table; internal to the module. */
Json::Value encode_route_table(const route_table& value);

/** @return the table; faults go to the reader's list */
route_table read_route_table(object_reader& reader);

} // namespace tamarack
