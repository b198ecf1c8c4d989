#pragma once

#include <tamarack_base/tamarack_base.h>

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace tamarack {

/** The memory of one connection as a connection_budget counts it. Leaves its list on destruction. */
class budget_holder
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    /** @return the bytes that are counted for this connection */
    std::size_t held_bytes() const { return m_bytes; }

private:
    friend class connection_budget;

    std::size_t m_bytes = 0;
    time_point m_since{}; ///< start of its request's receipt, or of its response's sending
};

/** Connections in some order; membership ends with the connection or with its removal. */
using budget_holder_list = boost::intrusive::list<budget_holder, boost::intrusive::constant_time_size<false>>;

/**
 * Decides which connections of a server end when the memory of all of them together is short.
 *
 * Load pattern: many connections that send requests of permitted size, or read responses, up to a point and
 * stop there, beside ordinary small requests that complete within milliseconds.
 *
 * A connection is large while it holds more than `small_bytes`. Large connections together may hold seven
 * eighths of the limit; the rest is left for small ones. When the limit is reached, connections end that
 * have received one request, or sent one response, for the longest time: large ones first, then small ones. A
 * small connection always gets memory in this way. A large one gets it only from connections older than
 * `grace`, else it is refused: otherwise large requests that arrive together would end each other shortly
 * before their end. A connection whose request is being handled counts, and never ends.
 *
 * Not thread-safe: each server has its own, on its own thread.
 */
class connection_budget {
public:
    static constexpr std::size_t small_bytes = 16 * kibibyte;
    static constexpr duration grace = 1s;

    /**
     * @param limit  maximum number of bytes of all connections together
     * @param end    ends a connection and frees its memory; it no longer counts when this is called
     */
    connection_budget(std::size_t limit, std::function<void(budget_holder&)> end)
        : m_limit(limit), m_end(std::move(end)) {}

    void set_limit(std::size_t limit) { m_limit = limit; }

    /** A connection begins to receive a request or to send a response, and may be ended from now on. */
    void begin(budget_holder& holder, time_point now);

    /** A connection has received its request or sent its response, and may not be ended until `begin`. */
    static void finish(budget_holder& holder) { leave_list(holder); }

    /**
     * Sets what a connection holds; ends others if necessary.
     *
     * @return whether it may hold that much; if not, its count is unchanged
     */
    bool resize(budget_holder& holder, std::size_t bytes, time_point now);

    /** Counts no memory for a connection any more. */
    void release(budget_holder& holder);

    /** @return the number of bytes that all connections hold */
    std::size_t held_bytes() const { return m_held; }

private:
    static void leave_list(budget_holder& holder) {
        if (holder.is_linked()) {
            holder.unlink();
        }
    }
    static bool is_large(std::size_t bytes) { return bytes > small_bytes; }
    bool fits(const budget_holder& holder, std::size_t bytes) const;
    /** @return the connection to end in favour of another one, or nullptr */
    budget_holder* find_victim(const budget_holder& holder, bool for_large, time_point now);
    void insert_large(budget_holder& holder);
    void store(budget_holder& holder, std::size_t bytes);

    std::size_t m_limit;
    std::function<void(budget_holder&)> m_end;
    std::size_t m_held = 0;
    std::size_t m_held_by_large = 0;
    budget_holder_list m_small; ///< by the start of their request or response, oldest first
    budget_holder_list m_large; ///< likewise
};

} // namespace tamarack
