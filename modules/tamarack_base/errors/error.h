#pragma once

#include "../naming/name_table.h"

#include <string>

namespace tamarack {

/** Kinds of failure that are reported across module boundaries. */
enum class error_code {
    invalid_argument,
    malformed,
    not_found,
    conflict,
    stale,
    not_leader,
    not_ready,
    unavailable,
    timed_out,
    overloaded,
    damaged,
    input_output,
    unauthorized,
};

template <>
struct name_table<error_code> {
    static constexpr std::array<std::pair<error_code, std::string_view>, 13> entries{{
        {error_code::invalid_argument, "invalid_argument"},
        {error_code::malformed, "malformed"},
        {error_code::not_found, "not_found"},
        {error_code::conflict, "conflict"},
        {error_code::stale, "stale"},
        {error_code::not_leader, "not_leader"},
        {error_code::not_ready, "not_ready"},
        {error_code::unavailable, "unavailable"},
        {error_code::timed_out, "timed_out"},
        {error_code::overloaded, "overloaded"},
        {error_code::damaged, "damaged"},
        {error_code::input_output, "input_output"},
        {error_code::unauthorized, "unauthorized"},
    }};
};

/** A failure as a value: a code for programs and a human-readable message. */
struct error {
    error_code code = error_code::invalid_argument;
    std::string message;

    bool operator==(const error&) const = default;
};

} // namespace tamarack
