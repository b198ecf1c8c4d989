#pragma once

#include <boost/lockfree/policies.hpp>
#include <boost/lockfree/queue.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace tamarack {

/**
 * A bounded, lock-free, multi-producer, multi-consumer queue between threads.
 *
 * A full ring rejects the value and the producer decides what to do (answer "overloaded", count a drop), so
 * that no thread ever waits for another.
 */
template <typename Value>
class bounded_ring {
public:
    /** @param capacity  maximum number of values in the ring, from 1 to 65,534 */
    explicit bounded_ring(std::size_t capacity) : m_queue(capacity) {}

    ~bounded_ring() {
        while (try_pop()) {
        }
    }

    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;
    bounded_ring(bounded_ring&&) = delete;
    bounded_ring& operator=(bounded_ring&&) = delete;

    /**
     * @param value  moved into the ring on success
     * @return false when the ring is full; the value is then destroyed
     */
    bool try_push(Value value) {
        auto owned = std::make_unique<Value>(std::move(value));
        if (!m_queue.bounded_push(owned.get())) {
            return false;
        }
        static_cast<void>(owned.release());
        return true;
    }

    /** @return the oldest value, or nothing when the ring is empty */
    std::optional<Value> try_pop() {
        Value* raw = nullptr;
        if (!m_queue.pop(raw)) {
            return std::nullopt;
        }
        const std::unique_ptr<Value> owned{raw};
        return std::move(*owned);
    }

private:
    boost::lockfree::queue<Value*, boost::lockfree::fixed_sized<true>> m_queue;
};

} // namespace tamarack
