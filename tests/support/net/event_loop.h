#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace tamarack::testing_support {

/** Single-threaded event loop for test programs; hides Boost.Asio from their sources. */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    /** Processes events until stop() is called. */
    void run();

    /** Makes run() return. May be called from any thread. */
    void stop();

    /** Queues work to run on the loop. May be called from any thread. */
    void post(std::function<void()> work);

    /** Runs work after a delay. Call it on the loop or before run(). */
    void run_after(std::chrono::microseconds delay, std::function<void()> work);

    /** Runs work each time a signal arrives. Call it before run(). */
    void on_signal(int signal, const std::function<void()>& work);

    struct implementation;
    implementation& internals() { return *m_implementation; }

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack::testing_support
