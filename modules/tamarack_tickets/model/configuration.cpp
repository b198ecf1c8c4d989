#include "configuration.h"

namespace tamarack {

replica_limits configuration::limits_for(const service_id& service, const shard_id& shard) const {
    if (const auto own = limits.find({service, shard}); own != limits.end()) {
        return own->second;
    }
    if (const auto whole = limits.find({service, shard_id{}}); whole != limits.end()) {
        return whole->second;
    }
    return {service, shard, 1, 1};
}

} // namespace tamarack
