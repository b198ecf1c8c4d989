#include "process_memory.h"

#include <malloc.h>

namespace tamarack {

bool share_one_arena() {
    return mallopt(M_ARENA_MAX, 1) == 1;
}

void return_free_memory() {
    malloc_trim(0);
}

} // namespace tamarack
