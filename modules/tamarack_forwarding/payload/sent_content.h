#pragma once

#include "forward_request.h"

#include <memory>

namespace tamarack {

/** Content sent to targets for one request; shared by its exchanges, which may outlive the request. */
struct sent_content {
    request_id request;
    std::shared_ptr<const message_payload> payload;
    bool completed = false; ///< by some target, so the content does not crash its targets

    /** @return digest of the content, computed on first use */
    const digest& content_digest() {
        if (m_content_digest.empty()) {
            m_content_digest = content_digest_of(*payload);
        }
        return m_content_digest;
    }

private:
    digest m_content_digest;
};

using sent_content_pointer = std::shared_ptr<sent_content>;

} // namespace tamarack
