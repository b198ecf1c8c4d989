#pragma once

#include <cstddef>
#include <deque>
#include <functional>

namespace tamarack {

/**
 * Bounds the bytes that a group of links holds at the same time for sending large messages.
 *
 * Used by one thread. A message larger than the window is sent alone.
 */
class send_window {
public:
    /** @param max_bytes  size of the window */
    explicit send_window(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    /**
     * Takes space for a message.
     *
     * @param bytes  size of the message
     * @param ready  called when there may be space again, if there is none now
     * @return whether the space was taken
     */
    bool try_take(std::size_t bytes, std::function<void()> ready);

    /** Releases space, and calls those that wait for it, the longest waiting first. A waiter that still finds
     * no space goes to the end. */
    void release(std::size_t bytes);

    /** Forgets who waits; to be called before the links are removed, so that none of them starts to send. */
    void forget_waiting() { m_waiting.clear(); }

    std::size_t taken_bytes() const { return m_taken_bytes; }

private:
    std::size_t m_max_bytes;
    std::size_t m_taken_bytes = 0;
    std::deque<std::function<void()>> m_waiting;
};

} // namespace tamarack
