#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarack {

/**
 * Table of names for an enumeration.
 *
 * Specialise it with a `static constexpr std::array<std::pair<Enum, std::string_view>, N> entries` that lists
 * every value once. The names are part of the external interface: logs, metrics and JSON use them.
 *
 * @see to_name, from_name
 */
template <typename Enum>
struct name_table;

/**
 * Looks up the name of an enumeration value.
 *
 * @param value  a value of an enumeration that has a name_table
 * @return the name, or "unknown" for a value that the table does not list
 */
template <typename Enum>
constexpr std::string_view to_name(Enum value) {
    for (const auto& [listed, name] : name_table<Enum>::entries) {
        if (listed == value) {
            return name;
        }
    }
    return "unknown";
}

/**
 * Looks up an enumeration value by its name.
 *
 * @param name  a name as returned by to_name
 * @return the value, or nothing when no value has this name
 */
template <typename Enum>
constexpr std::optional<Enum> from_name(std::string_view name) {
    for (const auto& [value, listed] : name_table<Enum>::entries) {
        if (listed == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace tamarack
