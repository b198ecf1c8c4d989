#pragma once

#include "world_options.h"

#include <vector>

namespace tamarack {

/**
 * Lists the services of both deployments, in the sizes in which they are deployed.
 *
 * The deployments' "10 services, each with 3 replicas" is modelled as one service of 10 shards with 3
 * replicas each; "20 replicas" as one shard with 20 replicas.
 */
std::vector<world_options> deployed_services();

/** @return the service with this name, which deployed_services() must contain */
world_options deployed_service(const std::string& name);

} // namespace tamarack
