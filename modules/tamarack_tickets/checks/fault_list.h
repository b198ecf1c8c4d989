#pragma once

#include "../model/object_reader.h"

#include <cstdint>
#include <string>

namespace tamarack {

/** Collects the faults found in a ticket's content. Internal to the module. */
class fault_list {
public:
    void add(std::string path, std::string problem);

    /** Checks that a name has 1 to 128 bytes and no control characters. */
    void check_name(const std::string& path, const std::string& name);

    /** Checks that a count lies within bounds, both inclusive. */
    void check_count(const std::string& path, std::uint64_t value, std::uint64_t low, std::uint64_t high);

    /** Checks that a share lies within bounds, both inclusive. */
    void check_share(const std::string& path, double value, double low, double high);

    /** Checks that a time is from 1 ms to 1 h. */
    void check_time(const std::string& path, duration value);

    ticket_faults take() { return std::move(m_faults); }

private:
    ticket_faults m_faults;
};

} // namespace tamarack
