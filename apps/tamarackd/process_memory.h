#pragma once

namespace tamarack {

/**
 * Makes all threads allocate from one arena. A large configuration passes through several threads, and each
 * further arena would keep what it took there. Call before other threads start.
 *
 * @return whether the C library accepted the limit
 */
bool share_one_arena();

/** Returns the pages of freed memory to the system. */
void return_free_memory();

} // namespace tamarack
