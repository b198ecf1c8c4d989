#include "replica.h"

#include <algorithm>

namespace tamarack {

bool replica::holds(const offered_version& wanted, time_point now) const {
    const auto& offered = view.versions;
    if (std::find(offered.begin(), offered.end(), wanted) == offered.end()) {
        return false;
    }
    const auto lost = version_gone_until.find(wanted.version);
    return lost == version_gone_until.end() || lost->second <= now;
}

} // namespace tamarack
