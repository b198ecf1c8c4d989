#include <utility>

#include "worker_thread.h"
#include "worker_thread_internals.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>

#include <pthread.h>

namespace tamarack {

time_point steady_now() {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

duration suspended_time() {
    timespec including{};
    timespec excluding{};
    clock_gettime(CLOCK_MONOTONIC, &excluding);
    clock_gettime(CLOCK_BOOTTIME, &including);
    const auto seconds = std::chrono::seconds{including.tv_sec - excluding.tv_sec};
    const auto nanoseconds = std::chrono::nanoseconds{including.tv_nsec - excluding.tv_nsec};
    return std::chrono::duration_cast<duration>(seconds + nanoseconds);
}

wall_time wall_now() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<wall_time>(since_epoch);
}

worker_thread::implementation::implementation(std::string thread_name, std::size_t capacity)
    : name(std::move(thread_name)), guard(context.get_executor()), ring(capacity) {}

void worker_thread::implementation::drain() {
    wake_pending.store(false);
    while (auto work = ring.try_pop()) {
        (*work)();
    }
}

worker_thread::worker_thread(std::string name, std::size_t capacity)
    : m_implementation(std::make_unique<implementation>(std::move(name), capacity)) {}

worker_thread::~worker_thread() {
    stop();
}

void worker_thread::start() {
    m_implementation->thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_implementation->name.c_str());
        m_implementation->context.run();
    });
}

void worker_thread::stop() {
    m_implementation->context.stop();
    if (m_implementation->thread.joinable()) {
        m_implementation->thread.join();
    }
}

bool worker_thread::try_post(std::function<void()> work) {
    if (!m_implementation->ring.try_push(std::move(work))) {
        return false;
    }
    if (!m_implementation->wake_pending.exchange(true)) {
        boost::asio::post(m_implementation->context, [this] { m_implementation->drain(); });
    }
    return true;
}

void worker_thread::run_at(time_point when, std::function<void()> work) {
    const std::chrono::steady_clock::time_point due{when.time_since_epoch()};
    auto timer = std::make_shared<boost::asio::steady_timer>(m_implementation->context, due);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code& failure) {
        if (!failure) {
            work();
        }
    });
}

} // namespace tamarack
