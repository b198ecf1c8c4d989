#pragma once

namespace tamarack {

/**
 * Combines several function objects into one visitor for std::visit.
 */
template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace tamarack
