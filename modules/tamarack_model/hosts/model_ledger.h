#pragma once

#include <tamarack_ledger/tamarack_ledger.h>

#include <map>

namespace tamarack {

/** Models the replicated claim ledger without consensus: all hosts share one map. */
class model_ledger {
public:
    claim_answer on_claim(const claim& wanted);
    void on_result(const claim_result& ended);

private:
    struct entry {
        claim accepted;
        bool running = true;
        claim_result ended;
    };

    std::map<idempotency_key, entry> m_entries;
};

} // namespace tamarack
