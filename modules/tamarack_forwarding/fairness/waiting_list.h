#pragma once

#include "../explain/request_trace.h"
#include "../payload/forward_request.h"
#include "fair_queue.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace tamarack {

/** A shard or request that waits for a connection. */
struct waiting_part {
    forward_number request = 0;
    std::size_t part = 0;
    std::uint32_t priority = 0;
    time_point objective_at;
    trace_step step = trace_step::sent;
    std::string team;       ///< empty if no team holds the caller's key
    double work = 0.0;      ///< expected time of its exchange; 0 if teams don't matter
    double start_tag = 0.0; ///< set by waiting_list
};

/**
 * The parts that wait for a service: by priority, then between teams by start-time fair queueing, then by
 * objective, then by arrival. A team's urgent parts don't change its place among the less urgent ones. Parts
 * without work all have the start tag 0.
 *
 * Inserting costs a search in a balanced tree, however many parts wait.
 */
class waiting_list {
    using order = std::tuple<std::uint32_t, double, time_point>;
    struct entry;
    using sorted_entries = std::multimap<order, std::list<entry>::iterator>;
    struct entry {
        waiting_part part;
        std::optional<sorted_entries::iterator> place; ///< absent for a part outside the order
    };

public:
    /** Position of a part. */
    class position {
    public:
        const waiting_part& operator*() const { return m_at->part; }
        const waiting_part* operator->() const { return &m_at->part; }
        position& operator++() {
            ++m_at;
            return *this;
        }
        bool operator==(const position&) const = default;

    private:
        friend class waiting_list;
        explicit position(std::list<entry>::iterator at) : m_at(at) {}
        std::list<entry>::iterator m_at;
    };

    waiting_list() = default;
    ~waiting_list() = default;
    waiting_list(const waiting_list&) = delete;
    waiting_list& operator=(const waiting_list&) = delete;
    waiting_list(waiting_list&&) = delete;
    waiting_list& operator=(waiting_list&&) = delete;

    /** Charges the work of a part to its team, and sets the part's start tag. */
    void charge(waiting_part& part);
    /** A charged part was sent without waiting. */
    void on_sent(const waiting_part& part);

    /** Adds a charged part in order. */
    void insert(waiting_part part);
    /** Adds a part in front of all others. It must not be charged, since it is sent out of turn. */
    void push_front(waiting_part part) { m_entries.push_front({std::move(part), std::nullopt}); }
    /** Adds a charged part behind all others. */
    void push_back(waiting_part part) { m_entries.push_back({std::move(part), std::nullopt}); }
    /** Removes a part that was sent. @return position of the next part */
    position erase_sent(position at);
    /** Removes a part that is not sent; its team isn't charged for it. @return position of the next part */
    position erase_withdrawn(position at);

    position begin() { return position{m_entries.begin()}; }
    position end() { return position{m_entries.end()}; }
    std::size_t size() const { return m_entries.size(); }

private:
    position erase(position at);

    std::map<std::uint32_t, fair_queue> m_queues; ///< by priority, as each priority is served by itself
    std::list<entry> m_entries;                   ///< parts outside the order, then the sorted ones
    sorted_entries m_sorted;
};

} // namespace tamarack
