#include "steady_callers.h"

namespace tamarack::platform_integration {

namespace {

constexpr int deadline_ms = 700;

} // namespace

steady_callers::steady_callers(platform_deployment& deployment, std::size_t count,
                               std::chrono::milliseconds pause)
    : m_deployment(deployment), m_pause(pause) {
    for (std::size_t caller = 0; caller < count; ++caller) {
        m_threads.emplace_back([this, caller] { call(caller); });
    }
}

steady_callers::~steady_callers() {
    stop();
}

void steady_callers::stop() {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void steady_callers::call(std::size_t first_host) {
    for (std::size_t host = first_host; !m_stopping; ++host) {
        m_deployment.request(host % m_deployment.hosts(), "x.example", "/fetch/1", deadline_ms);
        std::this_thread::sleep_for(m_pause);
    }
}

} // namespace tamarack::platform_integration
