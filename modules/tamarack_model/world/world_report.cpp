#include "world_report.h"

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

double share_of(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

duration world_report::percentile(const std::vector<duration>& sorted, double share) {
    if (sorted.empty()) {
        return duration{0};
    }
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1U;
    return sorted[std::min(index, sorted.size() - 1U)];
}

double world_report::complete_share() const {
    return share_of(ended[static_cast<std::size_t>(request_outcome::answered)], offered);
}

double world_report::refused_share() const {
    return share_of(ended[static_cast<std::size_t>(request_outcome::not_run)], offered);
}

double world_report::extra_load() const {
    return share_of(extra_attempts, first_attempts);
}

} // namespace tamarack
