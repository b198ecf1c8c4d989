#pragma once

#include "worker_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace tamarack {

/** Event loop and work queue of a worker_thread, for the classes of this module. */
struct worker_thread::implementation {
    implementation(std::string thread_name, std::size_t capacity);

    /** Runs all queued work. */
    void drain();

    std::string name;
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    bounded_ring<std::function<void()>> ring;
    std::atomic<bool> wake_pending{false};
    std::thread thread;
};

} // namespace tamarack
