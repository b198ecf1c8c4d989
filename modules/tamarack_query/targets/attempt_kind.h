#pragma once

namespace tamarack {

/** Why an exchange was sent. */
enum class attempt_kind {
    first,
    hedge,
    retry,
};

} // namespace tamarack
