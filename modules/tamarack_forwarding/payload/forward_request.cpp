#include "forward_request.h"

namespace tamarack {

digest content_digest_of(const message_payload& payload) {
    return digest_of(payload.method + ' ' + payload.target + '\n' + payload.body);
}

} // namespace tamarack
