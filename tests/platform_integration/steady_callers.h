#pragma once

#include "platform_deployment.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace tamarack::platform_integration {

/** Callers that send the same request to one host after the other, with a pause after each answer. */
class steady_callers {
public:
    /** Starts the callers. @param deployment  must outlive them */
    steady_callers(platform_deployment& deployment, std::size_t count, std::chrono::milliseconds pause);
    ~steady_callers();
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;
    steady_callers(steady_callers&&) = delete;
    steady_callers& operator=(steady_callers&&) = delete;

    /** Sends no further requests, and waits for the answers to the running ones. */
    void stop();

private:
    void call(std::size_t first_host);

    platform_deployment& m_deployment;
    std::chrono::milliseconds m_pause;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace tamarack::platform_integration
