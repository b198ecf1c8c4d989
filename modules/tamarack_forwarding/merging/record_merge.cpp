#include "record_merge.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <string_view>

namespace tamarack {

namespace {

/** Compares records as unsigned bytes. */
bool is_greater(std::string_view left, std::string_view right) {
    return std::memcmp(left.data(), right.data(), record_bytes) > 0;
}

} // namespace

std::string merge_greatest(const std::vector<const std::string*>& parts, std::size_t limit) {
    std::vector<std::string_view> records;
    for (const std::string* part : parts) {
        const std::string_view body{*part};
        for (std::size_t begin = 0; begin + record_bytes <= body.size(); begin += record_bytes) {
            records.push_back(body.substr(begin, record_bytes));
        }
    }
    const std::size_t count = std::min(limit, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(),
                      is_greater);
    std::string merged;
    merged.reserve(count * record_bytes);
    for (std::size_t index = 0; index < count; ++index) {
        merged.append(records[index]);
    }
    return merged;
}

} // namespace tamarack
