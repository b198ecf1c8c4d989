#pragma once

#include <chrono>

namespace tamarack {

/** The program's duration type, in microseconds. */
using duration = std::chrono::microseconds;

/**
 * Clock type of the monotonic time that is passed to event handlers.
 *
 * Modules that contain only decision logic never read a clock: the daemon passes the time of the steady
 * clock, tests pass virtual time.
 */
struct monotonic_time {
    using duration = tamarack::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_time, duration>;
    static constexpr bool is_steady = true;
};

/** A point in monotonic time; comparable only within one run of one host. */
using time_point = monotonic_time::time_point;

/**
 * Milliseconds since 1970 by a host's wall clock; used only for times of issue, which several hosts compare.
 */
using wall_time = std::chrono::milliseconds;

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

} // namespace tamarack
