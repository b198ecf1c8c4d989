#pragma once

#include <string_view>

namespace tamarack {

/** A location in the source code; not every tool that reads this code supports std::source_location. */
struct source_place {
    const char* file;
    unsigned line;

    /** @return the location of the call, when used as a default argument */
    static constexpr source_place current(const char* file = __builtin_FILE(),
                                          unsigned line = __builtin_LINE()) {
        return {file, line};
    }
};

/** Called with the text and location of a violated invariant, just before the process aborts. */
using invariant_handler = void (*)(std::string_view text, const source_place& place);

/**
 * Replaces the handler that is called when an invariant is violated.
 *
 * Tests that disable a protection install a handler that throws, to observe the violation. The daemon
 * installs one that logs. When the handler returns, the process aborts.
 *
 * @param handler  the new handler, or nullptr for the default (a line on standard error)
 * @return the previous handler
 */
invariant_handler set_invariant_handler(invariant_handler handler);

/** Reports a violated invariant and aborts the process. @see require_invariant */
[[noreturn]] void fail_invariant(std::string_view text, const source_place& place);

/**
 * Checks an invariant, in release builds too.
 *
 * @param holds  whether the invariant holds
 * @param text   the condition that must always hold, as a sentence
 * @param place  location of the check; filled in by the compiler
 */
inline void require_invariant(bool holds, std::string_view text,
                              const source_place& place = source_place::current()) {
    if (!holds) {
        fail_invariant(text, place);
    }
}

} // namespace tamarack
