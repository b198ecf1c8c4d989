#pragma once

#include "worker_thread.h"

#include <functional>
#include <memory>

namespace tamarack {

/**
 * Calls a handler when the time that a decision object asks for has come.
 *
 * Call rearm after each event, since the asked time may have changed. Used on one worker_thread.
 */
class timer_loop {
public:
    /**
     * @param thread  where the handler runs
     * @param due     returns the moment at which the handler is to be called next
     * @param handle  called with the present time; rearm follows by itself
     */
    timer_loop(worker_thread& thread, std::function<time_point()> due,
               std::function<void(time_point)> handle);

    /** Arms the timer for the moment that is due now, unless an earlier one is armed. */
    void rearm();

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace tamarack
