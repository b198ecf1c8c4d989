#pragma once

#include <cstdint>

namespace tamarack {

/** @return the number of memory allocations of this program so far */
std::uint64_t count_allocations();

} // namespace tamarack
