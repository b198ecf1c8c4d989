#include "query_policies.h"

namespace tamarack {

query_policies with_defaults(query_policies policies) {
    if (!policies.choose_replica) {
        policies.choose_replica = choose_power_of_two;
    }
    if (!policies.hedge_after) {
        policies.hedge_after = hedge_after_percentile;
    }
    if (!policies.scale_extra_load) {
        policies.scale_extra_load = scale_by_load;
    }
    if (!policies.admit) {
        policies.admit = admit_by_preference;
    }
    if (!policies.drop_queued) {
        policies.drop_queued = drop_what_cannot_finish;
    }
    return policies;
}

} // namespace tamarack
