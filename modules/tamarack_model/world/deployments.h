#pragma once

#include "world_options.h"

#include <vector>

namespace tamarack {

/**
 * The services of both deployments, with the sizes that they have there.
 *
 * The deployments' "10 services, each with 3 replicas" is modelled as one service of 10 shards with 3
 * replicas each; "20 replicas" as one shard with 20 replicas.
 */
std::vector<world_options> deployed_services();

/** @return the service with this name, which deployed_services() must contain */
world_options deployed_service(const std::string& name);

} // namespace tamarack
