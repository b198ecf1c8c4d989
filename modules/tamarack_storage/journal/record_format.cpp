#include "record_format.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace tamarack {

namespace {

struct record_header {
    std::uint32_t length = 0;
    std::uint32_t kind = 0;
    std::uint64_t index = 0;
    std::uint64_t content_checksum = 0;
    std::uint64_t header_checksum = 0;
};

constexpr std::size_t header_bytes = sizeof(record_header);
constexpr std::size_t checked_header_bytes = header_bytes - sizeof(std::uint64_t);
static_assert(header_bytes == 32, "the header has no padding");

std::uint64_t checksum_of_header(const record_header& header, std::size_t offset) {
    std::array<char, checked_header_bytes> bytes{};
    std::memcpy(bytes.data(), &header, bytes.size());
    return stable_hash({bytes.data(), bytes.size()}, offset);
}

bool all_zero(std::string_view bytes) {
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

/**
 * Classifies a record that fails its checksum. It counts as torn if its last bytes (at most one sector) and
 * all bytes after it are zero, since its write may have been interrupted then.
 */
parse_result classify_failure(std::string_view record, std::string_view following_bytes) {
    constexpr std::size_t sector_bytes = 512;
    const std::size_t tail = std::min(record.size(), sector_bytes);
    const bool unwritten = all_zero(record.substr(record.size() - tail)) && all_zero(following_bytes);
    return unwritten ? parse_result::torn : parse_result::damaged;
}

} // namespace

std::string format_record(const file_record& record, std::size_t offset) {
    record_header header;
    header.length = static_cast<std::uint32_t>(record.content.size());
    header.kind = static_cast<std::uint32_t>(record.kind);
    header.index = record.index;
    header.content_checksum = stable_hash(record.content, offset);
    header.header_checksum = checksum_of_header(header, offset);
    std::string bytes(header_bytes, '\0');
    std::memcpy(bytes.data(), &header, header_bytes);
    return bytes + record.content;
}

parsed_record parse_record(std::string_view file, std::size_t offset) {
    const std::string_view remaining = file.substr(offset);
    if (remaining.empty()) {
        return {};
    }
    if (remaining.size() < header_bytes) {
        return {parse_result::torn, {}, offset};
    }
    record_header header;
    std::memcpy(&header, remaining.data(), header_bytes);
    if (header.header_checksum != checksum_of_header(header, offset)) {
        return {
            classify_failure(remaining.substr(0, header_bytes), remaining.substr(header_bytes)), {}, offset};
    }
    const std::string_view content = remaining.substr(header_bytes, header.length);
    if (content.size() < header.length) {
        return {parse_result::torn, {}, offset};
    }
    if (header.content_checksum != stable_hash(content, offset)) {
        return {classify_failure(content, remaining.substr(header_bytes + header.length)), {}, offset};
    }
    const file_record record{static_cast<record_kind>(header.kind), header.index, std::string{content}};
    return {parse_result::good, record, offset + header_bytes + header.length};
}

} // namespace tamarack
