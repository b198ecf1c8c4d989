#pragma once

#include <tamarack_base/tamarack_base.h>
#include <tamarack_forwarding/tamarack_forwarding.h>

#include <map>
#include <utility>
#include <vector>

namespace tamarack {

/**
 * Keeps what is known of contents that crash targets, for hosts that start or come back into reach.
 *
 * Load pattern: such a request comes again while hosts are killed and started in series. A process that
 * starts knows nothing, and would lose two more targets to the request before it does.
 */
class crash_notices {
public:
    /** A loss was found here, or told by another host. */
    void add(time_point now, const crash_loss& loss);

    /** @return losses that still count, those of the contents that most targets were lost to first; bounded
     */
    std::vector<crash_loss> current(time_point now) const;

private:
    std::map<std::pair<digest, target_life>, time_point> m_found_at;
};

} // namespace tamarack
