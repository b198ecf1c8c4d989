#pragma once

#include <tamarack_model/tamarack_model.h>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/** A policy to compare, applied to the options of a run. */
struct policy_variant {
    std::string name;
    std::function<void(world_options&)> apply;
};

/** @return the default policy, baselines that differ from it in one decision each, and the oracle */
std::vector<policy_variant> policy_variants();

} // namespace tamarack
