#pragma once

#include "claim.h"
#include "withdrawn_attempts.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tamarack {

/** Protections of the ledger that tests switch off. Always on in the daemon. */
struct ledger_protections {
    bool compare_content = true;
    bool refuse_expired = true;
    bool keep_unknown = true; ///< an attempt without a result is never granted to another
};

/** Bounds of the ledger. */
struct ledger_limits {
    duration retention = 24h;       ///< how long a key is remembered after its time of issue
    duration future_tolerance = 5s; ///< a time of issue further ahead of the leader's clock is refused
    std::size_t entries = 1'000'000;
    std::size_t withdrawn = 20'000; ///< attempts remembered as refused or given up
    ledger_protections protections;
};

/**
 * The state machine of claims: applied in log order, equal on every control host.
 *
 * A key moves from open (granted to one attempt) to ended. Only an end as not_run lets another attempt be
 * granted. A key whose host was lost stays open until its end as unknown is put into the log; a later report
 * of that same attempt still replaces unknown by what is then known.
 *
 * Time comes from the log entry (the proposing leader's wall clock) and never goes backwards inside the
 * ledger.
 */
class claim_ledger {
public:
    explicit claim_ledger(ledger_limits limits = {});

    /** Decides on a claim. @param proposed_at the leader's wall clock, part of the log entry */
    claim_answer apply(const claim& wanted, wall_time proposed_at);

    /**
     * Records the end of a claimed request.
     *
     * A result of another attempt doesn't change the key; not_run withdraws its own attempt in any case.
     */
    void apply(const claim_result& ended, wall_time proposed_at);

    /** @return the recorded state of a key, or nothing when it is not known */
    std::optional<claim_answer> find(const service_id& service, const idempotency_key& key) const;

    /** @return the claim that a key was granted to, while it has no end */
    std::optional<claim> open_claim(const service_id& service, const idempotency_key& key) const;

    std::size_t size() const { return m_entries.size(); }

    /** @return the whole state as text; equal states give equal text */
    std::string save() const;
    /** Replaces the state by one that save wrote. */
    outcome<done> restore(const std::string& text);

private:
    using entry_key = std::pair<service_id, idempotency_key>;

    struct ledger_entry {
        claim claimed;
        bool ended = false;
        run_result result = run_result::unknown;
        std::string reply;
        bool reply_is_digest = false;
    };

    void advance(wall_time proposed_at);
    void withdraw(const attempt_id& attempt);
    bool is_expired(const claim& wanted) const;
    claim_answer insert(const claim& wanted);
    claim_answer decide_existing(ledger_entry& entry, const claim& wanted);
    claim_answer grant(ledger_entry& entry, const claim& wanted);
    outcome<done> restore_line(const std::string& line);
    static claim_answer answer_of(const ledger_entry& entry);

    ledger_limits m_limits;
    wall_time m_now{};
    std::map<entry_key, ledger_entry> m_entries;
    std::multimap<wall_time, entry_key> m_by_issue;
    withdrawn_attempts m_withdrawn;
};

} // namespace tamarack
