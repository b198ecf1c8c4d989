#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/** A SHA-256 digest, as 64 lower-case hexadecimal digits. @see digest_of */
class digest {
public:
    digest() = default;
    explicit digest(std::string hex) : m_hex(std::move(hex)) {}

    const std::string& hex() const { return m_hex; }
    bool empty() const { return m_hex.empty(); }

    friend bool operator==(const digest&, const digest&) = default;
    friend std::strong_ordering operator<=>(const digest& left, const digest& right) {
        return left.m_hex.compare(right.m_hex) <=> 0;
    }

private:
    std::string m_hex;
};

/**
 * Computes the SHA-256 digest of some content.
 *
 * @param content  any bytes
 */
digest digest_of(std::string_view content);

} // namespace tamarack
