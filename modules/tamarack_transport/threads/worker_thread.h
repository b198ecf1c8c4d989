#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/** @return the steady clock's present reading */
time_point steady_now();

/** @return the wall clock's present reading */
wall_time wall_now();

/**
 * A thread for one duty, with its event loop and a bounded ring of work from other threads.
 *
 * Objects of this module that take a worker_thread run their callbacks on it.
 */
class worker_thread {
public:
    /**
     * @param name      shown by debuggers; at most 15 characters
     * @param capacity  how many pieces of work may wait in its ring
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

    /** Stops the loop and joins the thread; what waits in the ring is dropped. Not from the thread itself. */
    void stop();

    /**
     * Hands over work, from any thread.
     *
     * @return false when the ring is full: the work will not run
     */
    bool try_post(std::function<void()> work);

    /** Runs work on this thread once the time has come. Only from this thread, or before start. */
    void run_at(time_point when, std::function<void()> work);

    struct implementation;
    /** For this module's own classes. */
    implementation& internals() { return *m_implementation; }

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
