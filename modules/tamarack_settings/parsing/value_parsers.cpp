#include "value_parsers.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <limits>

namespace tamarack {

namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

/** Largest first: describe_duration uses the first unit that fits. */
constexpr std::array<unit, 4> duration_units{{
    {"h", 3'600'000'000},
    {"min", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
}};

constexpr std::array<unit, 3> size_units{{
    {"B", 1},
    {"KiB", 1'024},
    {"MiB", 1'048'576},
}};

template <std::size_t Count>
std::optional<std::uint64_t> parse_with_unit(const std::string& text, const std::array<unit, Count>& units) {
    const std::size_t unit_begin = text.find_first_not_of("0123456789");
    if (unit_begin == std::string::npos) {
        return std::nullopt;
    }
    const auto number = parse_count(text.substr(0, unit_begin));
    if (!number) {
        return std::nullopt;
    }
    for (const unit& candidate : units) {
        if (text.substr(unit_begin) != candidate.name) {
            continue;
        }
        constexpr auto max_value = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (*number > max_value / candidate.factor) {
            return std::nullopt;
        }
        return *number * candidate.factor;
    }
    return std::nullopt;
}

bool is_ip_address(int family, const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::optional<std::uint16_t> parse_port(const std::string& text) {
    const auto number = parse_count(text);
    if (!number || *number > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return static_cast<std::uint16_t>(*number);
}

} // namespace

std::optional<std::uint64_t> parse_count(const std::string& text) {
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, code] = std::from_chars(text.data(), end, number);
    if (code != std::errc{} || parsed_end != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

std::optional<duration> parse_duration(const std::string& text) {
    const auto microseconds = parse_with_unit(text, duration_units);
    if (!microseconds) {
        return std::nullopt;
    }
    return duration{static_cast<duration::rep>(*microseconds)};
}

std::optional<std::uint64_t> parse_size(const std::string& text) {
    return parse_with_unit(text, size_units);
}

std::optional<double> parse_real(const std::string& text) {
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto [stopped_at, problem] = std::from_chars(text.data(), end, value);
    if (text.empty() || problem != std::errc{} || stopped_at != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<address_parts> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    std::string ip = text.substr(0, colon);
    if (is_ip_address(AF_INET, ip)) {
        return address_parts{ip, *port, ip == "0.0.0.0"};
    }
    if (ip.size() < 2 || ip.front() != '[' || ip.back() != ']') {
        return std::nullopt;
    }
    ip = ip.substr(1, ip.size() - 2);
    if (!is_ip_address(AF_INET6, ip)) {
        return std::nullopt;
    }
    return address_parts{ip, *port, ip == "::"};
}

std::string describe_duration(duration value) {
    const auto microseconds = static_cast<std::uint64_t>(value.count());
    for (const unit& candidate : duration_units) {
        if (microseconds >= candidate.factor && microseconds % candidate.factor == 0) {
            return std::to_string(microseconds / candidate.factor) + std::string{candidate.name};
        }
    }
    return std::to_string(microseconds) + "us";
}

} // namespace tamarack
