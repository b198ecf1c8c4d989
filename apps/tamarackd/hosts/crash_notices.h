#pragma once

#include <tamarack_base/tamarack_base.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <map>
#include <string>
#include <vector>

namespace tamarack {

/** Requests of this content crash the targets that run them. */
struct crash_notice {
    digest content;
    time_point found_at{}; ///< by the host that found it
};

/**
 * Keeps what is known of contents that crash targets, for hosts that start or come back into reach.
 *
 * Load pattern: such a request comes again while hosts are killed and started in series. A process that
 * starts knows nothing, and would lose two more targets to the request before it does.
 */
class crash_notices {
public:
    /** A content was found here, or told by another host. */
    void add(time_point now, const crash_notice& notice);

    /** @return the notices that still count */
    std::vector<crash_notice> current(time_point now) const;

private:
    std::map<std::string, crash_notice> m_notices; ///< by the hexadecimal text of the content's digest
};

} // namespace tamarack
