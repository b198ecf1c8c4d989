#pragma once

#include "claim.h"
#include "withdrawn_attempts.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tamarack {

/** Protections of the ledger, which only tests switch off. Always on in the daemon. */
struct ledger_protections {
    bool compare_content = true;
    bool refuse_expired = true;
    bool keep_unknown = true; ///< a key whose attempt has no known result is never granted to another attempt
};

/** Limits of the ledger. */
struct ledger_limits {
    duration retention = 24h;       ///< how long a key is kept after its time of issue
    duration future_tolerance = 5s; ///< keys issued further ahead of the leader's clock are refused
    std::size_t entries = 1'000'000;
    std::size_t withdrawn = 20'000; ///< maximum number of withdrawn attempts that are kept
    ledger_protections protections;
};

/**
 * Replicated state machine of claims. Entries are applied in log order, so all control hosts agree on its
 * state.
 *
 * A key is open from its grant to an attempt until a result of this attempt is recorded; it has then ended.
 * The key can be granted to another attempt only after a result of not_run. If the host of an attempt is
 * lost, the key stays open until the result `unknown` is written to the log on its behalf. If the same
 * attempt reports its real result later, this replaces `unknown`.
 *
 * Time is taken from the log entry (the wall clock of the leader that proposed it) and never goes backwards
 * in the ledger.
 */
class claim_ledger {
public:
    explicit claim_ledger(ledger_limits limits = {});

    /** Decides on a claim. @param proposed_at the leader's wall clock when it proposed the log entry */
    claim_answer apply(const claim& wanted, wall_time proposed_at);

    /**
     * Records the result of a claimed request.
     *
     * A result from an attempt that the key is not granted to doesn't change the key. A result of not_run
     * always withdraws the attempt that reports it.
     */
    void apply(const claim_result& ended, wall_time proposed_at);

    /** @return the recorded state of a key, or nothing if the key is not in the ledger */
    std::optional<claim_answer> find(const service_id& service, const idempotency_key& key) const;

    /** @return the claim that the key is granted to, or nothing if the key is unknown or has ended */
    std::optional<claim> open_claim(const service_id& service, const idempotency_key& key) const;

    std::size_t size() const { return m_entries.size(); }

    /** @return the whole state as text; equal states produce equal text */
    std::string save() const;
    /** Replaces the state with one that save() wrote. */
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
