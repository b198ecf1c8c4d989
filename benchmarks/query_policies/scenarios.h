#pragma once

#include <tamarack_model/tamarack_model.h>

#include <functional>
#include <string>
#include <vector>

namespace tamarack {

/** The faults and changes of a run. */
struct scenario {
    std::string name;
    std::function<void(world_options&)> prepare;
    std::function<void(model_world&)> inject;
};

/** @return steady load, stragglers, and the faults that targets are known to have */
std::vector<scenario> scenarios();

} // namespace tamarack
