#include "invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace tamarack {

namespace {

std::atomic<invariant_handler>& current_handler() {
    static std::atomic<invariant_handler> handler{nullptr};
    return handler;
}

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler) {
    return current_handler().exchange(handler);
}

void fail_invariant(std::string_view text, const source_place& place) {
    if (const auto handler = current_handler().load()) {
        handler(text, place);
    } else {
        std::fprintf(stderr, "%s:%u: invariant broken: %.*s\n", place.file, place.line,
                     static_cast<int>(text.size()), text.data());
    }
    std::abort();
}

} // namespace tamarack
