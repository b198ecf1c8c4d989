#include "eventually.h"

#include "../process/process_group.h"

#include <chrono>
#include <thread>

namespace tamarack::testing_support {

namespace {

constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

bool eventually(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + test_timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace tamarack::testing_support
