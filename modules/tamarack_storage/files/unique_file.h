#pragma once

#include <utility>

namespace tamarack {

/** Owns one file descriptor and closes it. */
class unique_file {
public:
    unique_file() = default;
    explicit unique_file(int descriptor) : m_descriptor(descriptor) {}
    ~unique_file() { reset(); }

    unique_file(unique_file&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}
    unique_file& operator=(unique_file&& other) noexcept {
        if (this != &other) {
            reset();
            m_descriptor = std::exchange(other.m_descriptor, -1);
        }
        return *this;
    }
    unique_file(const unique_file&) = delete;
    unique_file& operator=(const unique_file&) = delete;

    bool is_open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    /** Closes the file, if one is open. */
    void reset();

private:
    int m_descriptor = -1;
};

} // namespace tamarack
