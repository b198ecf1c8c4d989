#pragma once

#include <tamarack_base/tamarack_base.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/** Weight of a log line. */
enum class log_level {
    info,
    warning,
    error,
};

/** One named value of a structured log line. */
using log_field = std::pair<std::string_view, std::string>;

/**
 * Sets up the process's log: one line a decision or a change of state, on standard output, as `time level
 * host event key=value`.
 *
 * Call once, before any thread starts.
 *
 * @param host  named in every line
 */
void start_state_log(const host_id& host);

/**
 * Has lines written by a thread of its own from now on: whoever logs never waits. Lines beyond each event's
 * rate, or beyond what may wait, are left out and counted in `lines_left_out`.
 *
 * Call before other threads start.
 */
void start_log_writer();

/** Writes what waits and ends the writer. Call after all other threads have ended. */
void stop_log_writer();

/**
 * Writes one line for a change of state.
 *
 * @param level   weight of the line
 * @param event   what changed, in snake_case, such as "leader_elected"
 * @param ticket  number of the ticket in force when it changed
 * @param fields  further values; quoted when they contain spaces
 */
void log_state_change(log_level level, std::string_view event, ticket_number ticket,
                      std::initializer_list<log_field> fields);

} // namespace tamarack
