#pragma once

#include <tamarack_base/tamarack_base.h>

#include <optional>
#include <vector>

namespace tamarack {

/** Inputs of the decision whether to query another host for its configuration. */
struct inquiry_inputs {
    time_point lease_ends_at{}; ///< end of this host's lease; in the past if it holds none
    duration lease_length{};
    std::vector<host_id> peers; ///< other hosts that are alive
};

/**
 * Decides when a host that has lost contact with the control hosts queries another host for its
 * configuration.
 *
 * A host can be cut off from all control hosts while callers, targets and other hosts still reach it. With an
 * outdated configuration it would send requests to targets that no longer exist.
 */
class peer_inquiry {
public:
    explicit peer_inquiry(random_source random) : m_random(random) {}

    /** @return the host to query now, or nullopt */
    std::optional<host_id> next(time_point now, const inquiry_inputs& inputs);

private:
    random_source m_random;
    time_point m_last_inquiry_at{};
};

} // namespace tamarack
