#pragma once

#include "error.h"

#include <utility>
#include <variant>

namespace tamarack {

/** Success without a value. @see outcome */
struct done {
    bool operator==(const done&) const = default;
};

/**
 * The result of an operation that may fail: a value or an error.
 *
 * Use it for every failure that can occur in a correct program; check invariants with require_invariant.
 *
 * @see succeeded, value_of, error_of
 */
template <typename Value, typename Error = error>
using outcome = std::variant<Value, Error>;

/** @return whether the outcome holds a value */
template <typename Value, typename Error>
constexpr bool succeeded(const std::variant<Value, Error>& result) {
    return result.index() == 0;
}

/** @return the value; the outcome must have succeeded */
template <typename Value, typename Error>
constexpr const Value& value_of(const std::variant<Value, Error>& result) {
    return std::get<0>(result);
}

/** @return the value, moved out; the outcome must have succeeded */
template <typename Value, typename Error>
constexpr Value value_of(std::variant<Value, Error>&& result) {
    return std::get<0>(std::move(result));
}

/** @return the error; the outcome must have failed */
template <typename Value, typename Error>
constexpr const Error& error_of(const std::variant<Value, Error>& result) {
    return std::get<1>(result);
}

} // namespace tamarack
