#include "process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>
#include <utility>

namespace tamarack {

memory_use read_memory_use() {
    memory_use use;
    std::ifstream pages{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    if (pages >> total >> resident) {
        use.resident = resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }
    const auto heap = mallinfo2();
    use.allocated = heap.uordblks + heap.hblkhd;
    return use;
}

void log_configuration_step(std::string_view step, ticket_number ticket, log_field detail) {
    const memory_use use = read_memory_use();
    log_state_change(log_level::info, "configuration_step", ticket,
                     {{"step", std::string{step}},
                      std::move(detail),
                      {"resident_kib", std::to_string(use.resident / kibibyte)},
                      {"allocated_kib", std::to_string(use.allocated / kibibyte)}});
}

bool share_one_arena() {
    return mallopt(M_ARENA_MAX, 1) == 1;
}

void return_free_memory() {
    malloc_trim(0);
}

} // namespace tamarack
