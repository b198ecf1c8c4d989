#pragma once

#include <tamarack_base/tamarack_base.h>
#include <tamarack_query/tamarack_query.h>

#include <optional>

namespace tamarack {

/** Inputs of the decision whether a started host enters the directory. */
struct readiness_inputs {
    bool holds_lease = false;
    bool isolated = false;
    std::size_t hosts_known = 0; ///< including this host
    bool assigned = false;       ///< whether any service is assigned to this host
    const serving_view* view = nullptr;
};

/**
 * Decides when a started host enters the directory: once it holds a lease, knows other hosts, and can reach a
 * replica of each shard of a service.
 *
 * A service may have no replicas at all, so the gate opens in any case once the host has held a lease for the
 * maximum wait.
 */
class readiness_gate {
public:
    /** @return whether the host may enter the directory; once true, always true */
    bool open(time_point now, const readiness_inputs& inputs);

private:
    bool m_open = false;
    std::optional<time_point> m_leased_since;
};

} // namespace tamarack
