#include "team_limit_messages.h"

#include <algorithm>
#include <numeric>
#include <unordered_set>

namespace tamarack {

namespace {

/** Numbers of at most eight digits: a report of all teams has one for each. */
constexpr std::uint64_t numbers = 1ULL << 24U;

} // namespace

std::vector<team_limit> number_teams(const std::vector<team>& teams, const limit_tolerance& tolerance) {
    std::vector<std::size_t> order(teams.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&teams](std::size_t left, std::size_t right) { return teams[left].name < teams[right].name; });
    std::vector<team_limit> limits(teams.size());
    std::unordered_set<team_number> taken;
    for (const std::size_t index : order) {
        auto number = static_cast<team_number>(stable_hash(teams[index].name) % numbers);
        while (!taken.insert(number).second) {
            number = (number + 1) % numbers;
        }
        limits[index] = {number, teams[index].requests_per_second, teams[index].burst, tolerance};
    }
    return limits;
}

} // namespace tamarack
