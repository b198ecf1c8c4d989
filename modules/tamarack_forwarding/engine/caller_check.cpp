#include "caller_check.h"

namespace tamarack {

caller_verdict check_caller(const forwarding_core& core, const route& selected,
                            const caller_credentials& stated) {
    caller_verdict verdict;
    if (!core.view->evacuations_known) {
        verdict.reason = forward_reason::no_lease;
        return verdict;
    }
    if (!core.index->table()->requires_keys) {
        return verdict;
    }
    verdict.holder = stated.state == credentials_state::key ? core.teams->find(stated.key) : nullptr;
    if (selected.is_public) {
        return verdict;
    }
    if (stated.state == credentials_state::malformed) {
        verdict.outcome = forward_outcome::malformed;
        verdict.reason = forward_reason::malformed_credentials;
        return verdict;
    }
    verdict.needs_lease = core.options.keys_need_lease;
    if (verdict.needs_lease && !core.holds_key_lease()) {
        verdict.reason = forward_reason::no_lease;
    } else if (verdict.holder == nullptr) {
        verdict.outcome = forward_outcome::unauthorized;
        verdict.reason = forward_reason::unknown_key;
    }
    return verdict;
}

} // namespace tamarack
