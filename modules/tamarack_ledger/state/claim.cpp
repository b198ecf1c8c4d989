#include "claim.h"

namespace tamarack {

claim_result with_bounded_reply(claim_result result) {
    if (result.reply.size() > max_recorded_reply) {
        result.reply = digest_of(result.reply).hex();
        result.reply_is_digest = true;
    }
    return result;
}

} // namespace tamarack
