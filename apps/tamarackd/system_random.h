#pragma once

#include <tamarack_base/tamarack_base.h>

namespace tamarack {

/** @return a random source seeded by the operating system. Code that must be reproducible takes a seed of its
 * own instead. */
random_source system_random();

} // namespace tamarack
