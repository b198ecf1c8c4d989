#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/** @return the current time of the steady clock */
time_point steady_now();

/**
 * @return total time for which the machine was suspended since it was started, which steady_now doesn't
 *         include; exact to some microseconds
 */
duration suspended_time();

/** @return the current time of the wall clock */
wall_time wall_now();

/**
 * A thread with an event loop and a bounded queue of work posted by other threads.
 *
 * Objects of this module that take a worker_thread run their callbacks on it.
 */
class worker_thread {
public:
    /**
     * @param name      shown by debuggers; at most 15 characters
     * @param capacity  maximum number of functions in the work queue
     */
    worker_thread(std::string name, std::size_t capacity);
    /** Stops the loop and joins the thread. */
    ~worker_thread();
    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;
    worker_thread(worker_thread&&) = delete;
    worker_thread& operator=(worker_thread&&) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the loop and joins the thread; queued work is dropped. Must not be called on the thread itself.
     */
    void stop();

    /**
     * Posts work to this thread; can be called on any thread.
     *
     * @return false when the queue is full: the work will not run
     */
    bool try_post(std::function<void()> work);

    /** Runs work on this thread at the given time. To be called on this thread only, or before start. */
    void run_at(time_point when, std::function<void()> work);

    struct implementation;
    /** For the classes of this module only. */
    implementation& internals() { return *m_implementation; }

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
