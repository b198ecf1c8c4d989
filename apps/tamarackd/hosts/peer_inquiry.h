#pragma once

#include <tamarack_base/tamarack_base.h>

#include <optional>
#include <vector>

namespace tamarack {

/** What the decision to ask another host for its configuration depends on. */
struct inquiry_inputs {
    time_point lease_ends_at{}; ///< of this host; in the past when it holds none
    duration lease_length{};
    std::vector<host_id> peers; ///< other hosts that are alive
};

/**
 * Decides when a host that hears nothing from the control hosts asks another host for the configuration it
 * holds.
 *
 * A host may be cut off from all control hosts while callers, targets and other hosts still reach it. Under
 * an old configuration it would send requests to targets that are gone.
 */
class peer_inquiry {
public:
    explicit peer_inquiry(random_source random) : m_random(random) {}

    /** @return whom to ask now, or nothing */
    std::optional<host_id> next(time_point now, const inquiry_inputs& inputs);

private:
    random_source m_random;
    time_point m_asked_at{};
};

} // namespace tamarack
