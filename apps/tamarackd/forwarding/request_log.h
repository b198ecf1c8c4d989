#pragma once

#include <tamarack_forwarding/tamarack_forwarding.h>

namespace tamarack {

/**
 * Logs how requests ended, and the decisions made while they ran.
 *
 * @see request_sampling, which decides how much of a request is logged
 */
class request_log {
public:
    /** Logs one request. */
    void write(time_point now, const forward_answer& answer);

private:
    request_sampling m_sampling;
};

} // namespace tamarack
