#include "warmup_ends.h"

#include <algorithm>

namespace tamarack {

time_point warmup_ends::warm_at(time_point now, const target_record& record) {
    const announcement& latest = record.latest;
    const auto known = m_known.find(latest.target);
    known_end end{latest.incarnation, latest.sequence, now + latest.remaining_warmup};
    if (known != m_known.end() && known->second.incarnation == latest.incarnation) {
        const known_end& before = known->second;
        end.warm_at =
            latest.sequence > before.sequence ? std::max(before.warm_at, end.warm_at) : before.warm_at;
        end.sequence = std::max(before.sequence, latest.sequence);
    }
    m_listed[latest.target] = end;
    return end.warm_at;
}

} // namespace tamarack
