#pragma once

#include <functional>

namespace tamarack::testing_support {

/** Polls a condition until it holds. @return whether it held within test_timeout */
bool eventually(const std::function<bool()>& condition);

} // namespace tamarack::testing_support
