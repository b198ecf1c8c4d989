#include "system_random.h"

#include <cstdint>
#include <random>

namespace tamarack {

random_source system_random() {
    std::random_device device;
    const std::uint64_t high = device();
    return random_source{(high << 32U) | device()};
}

} // namespace tamarack
