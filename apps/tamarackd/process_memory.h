#pragma once

#include <tamarack_telemetry/tamarack_telemetry.h>

#include <cstddef>
#include <string_view>

namespace tamarack {

/** Memory of this process, in bytes. */
struct memory_use {
    std::size_t resident = 0;  ///< pages in memory; 0 if unknown
    std::size_t allocated = 0; ///< held by the program, without freed memory that was not returned
};

/** @return the memory in use now. It walks the free lists of the heap, so call it for rare events only. */
memory_use read_memory_use();

/**
 * Writes a line for a step in the handling of a configuration, with the memory in use then.
 *
 * @param step    what was done
 * @param ticket  number of the configuration
 * @param detail  a further value of this step
 */
void log_configuration_step(std::string_view step, ticket_number ticket, log_field detail);

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
