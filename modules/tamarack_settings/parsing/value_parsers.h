#pragma once

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <optional>
#include <string>

namespace tamarack {

/**
 * Parses a duration such as "250ms", "3s", "2min" or "1h".
 *
 * @return the duration, or nothing when the number or its unit is missing or wrong
 */
std::optional<duration> parse_duration(const std::string& text);

/** Parses a size such as "4096B", "16KiB" or "1MiB". @return bytes, or nothing */
std::optional<std::uint64_t> parse_size(const std::string& text);

/** Parses a whole number without a sign. @return the number, or nothing */
std::optional<std::uint64_t> parse_count(const std::string& text);

/** Parses a number such as "0.2" or "62". @return the number, or nothing */
std::optional<double> parse_real(const std::string& text);

/** An address split into its parts. */
struct address_parts {
    std::string ip;
    std::uint16_t port = 0;
    bool wildcard = false; ///< "0.0.0.0" or "[::]"
};

/** Parses "192.0.2.1:80" or "[2001:db8::1]:80". @return its parts, or nothing */
std::optional<address_parts> parse_address(const std::string& text);

/** @return the duration in the largest unit that gives a whole number, such as "3s" */
std::string describe_duration(duration value);

} // namespace tamarack
