#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

namespace tamarack {

std::uint64_t count_allocations() {
    return allocations.load();
}

} // namespace tamarack

// NOLINTBEGIN(cppcoreguidelines-no-malloc)
void* operator new(std::size_t size) {
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc)
