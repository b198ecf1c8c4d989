#pragma once

#include <tamarack_forwarding/tamarack_forwarding.h>

namespace tamarack {

/**
 * Writes the lines that tell how a request ended, and each decision on its way.
 *
 * @see request_sampling, which decides how much of it
 */
class request_log {
public:
    /** Writes the lines of one request. */
    void write(time_point now, const forward_answer& answer);

private:
    request_sampling m_sampling;
};

} // namespace tamarack
