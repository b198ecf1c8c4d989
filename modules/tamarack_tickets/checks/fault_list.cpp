#include "fault_list.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t max_name_bytes = 128;
constexpr duration max_time = 1h;

bool is_control(char character) {
    const auto code = static_cast<unsigned char>(character);
    return code < 0x20U || code == 0x7fU;
}

std::string to_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

void fault_list::add(std::string path, std::string problem) {
    m_faults.push_back({std::move(path), std::move(problem)});
}

void fault_list::check_name(const std::string& path, const std::string& name) {
    if (name.empty()) {
        add(path, "must not be empty");
    } else if (name.size() > max_name_bytes) {
        add(path, "must have at most " + std::to_string(max_name_bytes) + " bytes");
    } else if (std::any_of(name.begin(), name.end(), is_control)) {
        add(path, "must not contain control characters");
    }
}

void fault_list::check_count(const std::string& path, std::uint64_t value, std::uint64_t low,
                             std::uint64_t high) {
    if (value < low || value > high) {
        add(path, "must be from " + std::to_string(low) + " to " + std::to_string(high));
    }
}

void fault_list::check_share(const std::string& path, double value, double low, double high) {
    if (!(value >= low && value <= high)) {
        add(path, "must be from " + to_text(low) + " to " + to_text(high));
    }
}

void fault_list::check_time(const std::string& path, duration value) {
    if (value < 1ms || value > max_time) {
        add(path, "must be from 1 ms to 1 h");
    }
}

} // namespace tamarack
