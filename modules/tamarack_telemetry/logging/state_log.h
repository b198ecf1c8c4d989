#pragma once

#include <tamarack_base/tamarack_base.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/** Severity of a log line. */
enum class log_level {
    info,
    warning,
    error,
};

/** One named value of a structured log line. */
using log_field = std::pair<std::string_view, std::string>;

/**
 * Sets up the process's log: one line for each decision or change of state, on standard output, in the form
 * `time level host event ticket=N key=value`.
 *
 * Call once, before any thread starts.
 *
 * @param host  named in every line
 */
void start_state_log(const host_id& host);

/**
 * Starts a thread that writes the log lines from now on, so that logging never blocks. Lines beyond the rate
 * limit of their event, or beyond the size of the queue, are suppressed and counted in `lines_left_out`.
 *
 * Call before other threads start.
 */
void start_log_writer();

/** Writes the queued lines and stops the writer. Call after all other threads have ended. */
void stop_log_writer();

/**
 * Writes one line for a change of state.
 *
 * @param level   severity of the line
 * @param event   what changed, in snake_case, such as "leader_elected"
 * @param ticket  number of the ticket in force when it changed
 * @param fields  further values; quoted when they contain spaces
 */
void log_state_change(log_level level, std::string_view event, ticket_number ticket,
                      std::initializer_list<log_field> fields);

} // namespace tamarack
