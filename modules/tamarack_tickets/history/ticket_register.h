#pragma once

#include "../checks/ticket_checks.h"
#include "../model/json_lines.h"
#include "../model/json_text.h"

#include <cstddef>
#include <deque>
#include <string>

namespace tamarack {

/** Verdict on a submitted ticket. */
enum class ticket_verdict {
    accepted,   ///< is now the latest ticket
    resent,     ///< is already the latest ticket, with the same content
    superseded, ///< was accepted earlier with the same content; a later ticket is now the latest
    conflict,   ///< its number was accepted with different content
    stale,      ///< its number is below the latest and not in the history of accepted tickets
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
    digest accepted_content; ///< digest of the content accepted under this number; empty when none is known
    ticket_faults faults;    ///< of a refused ticket

    bool operator==(const ticket_answer&) const = default;
};

/** An accepted ticket in the history. */
struct accepted_ticket {
    ticket_number number;
    digest content;
    std::string author;
    wall_time accepted_at{}; ///< by the leader's wall clock; for display only
    std::string text;        ///< the ticket; empty once only its digest is retained

    bool operator==(const accepted_ticket&) const = default;
};

/** Number of accepted tickets whose digests and texts a register retains. */
struct history_limits {
    std::size_t digests = 20'000;
    std::size_t texts = 200;
};

/**
 * Replicated state machine of tickets. Tickets are applied in log order, so the state is equal on every
 * control host.
 *
 * @see ticket_answer
 */
class ticket_register {
public:
    explicit ticket_register(history_limits limits = {});

    /**
     * Decides on a ticket and applies it if it is accepted.
     *
     * @param candidate    a well-formed ticket
     * @param accepted_at  the proposing leader's wall clock, part of the log entry
     * @return the answer for the operator
     */
    ticket_answer apply(const ticket& candidate, wall_time accepted_at);

    const configuration& current() const { return *m_current; }
    const shared_configuration& shared_current() const { return m_current; }
    const std::deque<accepted_ticket>& history() const { return m_history; }

    /** @return the serialised state; equal states give equal text */
    std::string save() const;
    /** Replaces the state with one that was serialised by save. */
    outcome<done> restore(const std::string& text);

private:
    void answer_known_number(const digest& content, ticket_answer& answer) const;
    void add_to_history(const ticket& accepted, const digest& content, std::string content_text,
                        wall_time accepted_at);

    history_limits m_limits;
    shared_configuration m_current = std::make_shared<const configuration>();
    std::deque<accepted_ticket> m_history;
    ticket_number m_highest_dropped; ///< highest number dropped from the history; whether a number up to it
                                     ///< was accepted is no longer known
};

} // namespace tamarack
