// Runs the soak test manually: soak FIRST_SEED COUNT SECONDS. Prints one line per seed, and the events of
// failed seeds.
#include "soak.h"

#include <cstdlib>
#include <iostream>

int main(int count, char** values) {
    if (count < 4 || count > 7) {
        std::cerr << "usage: soak FIRST_SEED COUNT SECONDS [THINK_TIME_MS [ENTRY_HOSTS [CALLERS]]]\n";
        return 2;
    }
    const std::uint64_t first = std::strtoull(values[1], nullptr, 10);
    const std::uint64_t seeds = std::strtoull(values[2], nullptr, 10);
    unsigned failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        tamarack::soak::soak_options options;
        options.seed = seed;
        options.length = std::chrono::seconds{std::strtol(values[3], nullptr, 10)};
        if (count > 4) {
            options.think_time = std::chrono::milliseconds{std::strtol(values[4], nullptr, 10)};
        }
        if (count > 5) {
            options.entry_hosts = std::strtoull(values[5], nullptr, 10);
        }
        if (count > 6) {
            options.callers = std::strtoull(values[6], nullptr, 10);
        }
        const auto result = tamarack::soak::soak_run{options}.run();
        std::cout << "seed " << seed << ": " << result.faults << " faults, " << result.answered
                  << " answered, " << result.refused << " refused, " << result.failed << " failed, "
                  << result.max_extra << " extra exchanges at most, " << result.violations.size()
                  << " violations" << std::endl;
        for (const auto& [end, requests] : result.by_outcome) {
            std::cout << "  " << requests << " " << end << "\n";
        }
        if (!result.violations.empty()) {
            ++failed;
            for (const std::string& event : result.events) {
                std::cout << "  " << event << "\n";
            }
        }
    }
    std::cout << seeds - failed << " seeds passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
