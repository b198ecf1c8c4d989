#include "query_run.h"

#include <algorithm>

namespace tamarack {

std::size_t query_run::count(shard_progress progress) const {
    return static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(),
                      [progress](const shard_run& part) { return part.progress == progress; }));
}

double query_run::coverage() const {
    return shards.empty()
               ? 0.0
               : static_cast<double>(count(shard_progress::covered)) / static_cast<double>(shards.size());
}

double query_run::possible_coverage() const {
    const std::size_t lost = count(shard_progress::missing);
    return shards.empty() ? 0.0
                          : static_cast<double>(shards.size() - lost) / static_cast<double>(shards.size());
}

double query_run::least_coverage() const {
    return std::max(service->definition.least_coverage, request.least_coverage);
}

} // namespace tamarack
