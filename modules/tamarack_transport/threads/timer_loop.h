#pragma once

#include "worker_thread.h"

#include <functional>
#include <memory>

namespace tamarack {

/**
 * Calls a handler at the times that another object requests.
 *
 * Call rearm after each event, since the requested time may have changed. Must be used on one worker_thread
 * only.
 */
class timer_loop {
public:
    /**
     * @param thread  thread that runs the handler
     * @param due     returns the time of the next call
     * @param handle  called with the current time; the timer is rearmed afterwards
     */
    timer_loop(worker_thread& thread, std::function<time_point()> due,
               std::function<void(time_point)> handle);

    /** Arms the timer for the time that `due` returns, unless it is armed for that time or an earlier one. */
    void rearm();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
