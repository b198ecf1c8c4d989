#pragma once

#include "../checks/ticket_checks.h"
#include "../model/json_lines.h"
#include "../model/json_text.h"

#include <cstddef>
#include <deque>
#include <string>

namespace tamarack {

/** What became of a submitted ticket. */
enum class ticket_verdict {
    accepted,   ///< now the latest
    resent,     ///< the latest already, with the same content
    superseded, ///< was accepted with this content before; a later one is the latest
    conflict,   ///< its number was accepted with other content
    stale,      ///< its number is below the latest and was never accepted, as far as is remembered
    refused,    ///< its content has faults
};

template <>
struct name_table<ticket_verdict> {
    static constexpr std::array<std::pair<ticket_verdict, std::string_view>, 6> entries{{
        {ticket_verdict::accepted, "accepted"},
        {ticket_verdict::resent, "resent"},
        {ticket_verdict::superseded, "superseded"},
        {ticket_verdict::conflict, "conflict"},
        {ticket_verdict::stale, "stale"},
        {ticket_verdict::refused, "refused"},
    }};
};

/** Answer to a submitted ticket. */
struct ticket_answer {
    ticket_verdict verdict = ticket_verdict::refused;
    ticket_number number;    ///< the submitted number
    ticket_number latest;    ///< the latest accepted number after the submission
    digest accepted_content; ///< digest accepted under the submitted number; empty when none is known
    ticket_faults faults;    ///< of a refused ticket

    bool operator==(const ticket_answer&) const = default;
};

/** One accepted ticket, as remembered. */
struct accepted_ticket {
    ticket_number number;
    digest content;
    std::string author;
    wall_time accepted_at{}; ///< by the leader's wall clock, for people
    std::string text;        ///< empty once only the digest is kept

    bool operator==(const accepted_ticket&) const = default;
};

/** How much of the past a register remembers. */
struct history_limits {
    std::size_t digests = 20'000;
    std::size_t texts = 200;
};

/**
 * The state machine of tickets: applied in log order, equal on every control host.
 *
 * @see ticket_answer
 */
class ticket_register {
public:
    explicit ticket_register(history_limits limits = {});

    /**
     * Decides on a ticket and, when it is accepted, applies it.
     *
     * @param candidate    a ticket of good form
     * @param accepted_at  the proposing leader's wall clock, part of the log entry
     * @return the answer for the operator
     */
    ticket_answer apply(const ticket& candidate, wall_time accepted_at);

    const configuration& current() const { return m_current; }
    const std::deque<accepted_ticket>& history() const { return m_history; }

    /** @return the whole state as text; equal states give equal text */
    std::string save() const;
    /** Replaces the state by one that save wrote. */
    outcome<done> restore(const std::string& text);

private:
    void answer_known_number(const digest& content, ticket_answer& answer) const;
    void add_to_history(const ticket& accepted, const digest& content, std::string content_text,
                        wall_time accepted_at);

    history_limits m_limits;
    configuration m_current;
    std::deque<accepted_ticket> m_history;
    ticket_number m_highest_dropped; ///< numbers up to here may have been accepted and forgotten
};

} // namespace tamarack
