#pragma once

#include <cstddef>

namespace tamarack {

/** Bytes in a KiB. */
inline constexpr std::size_t kibibyte = 1'024;
/** Bytes in a MiB. */
inline constexpr std::size_t mebibyte = 1'024 * kibibyte;

} // namespace tamarack
