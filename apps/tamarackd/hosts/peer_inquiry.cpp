#include "peer_inquiry.h"

namespace tamarack {

namespace {

/** Time between two inquiries. A new configuration is in force within seconds; this interval allows a few
 * inquiries in that time. */
constexpr duration inquiry_interval = 500ms;
/** If the lease has not been renewed for 1 / overdue_share of its length, the control hosts are taken to be
 * unreachable. */
constexpr int overdue_share = 2;

} // namespace

std::optional<host_id> peer_inquiry::next(time_point now, const inquiry_inputs& inputs) {
    const bool overdue = inputs.lease_ends_at < now + inputs.lease_length / overdue_share;
    if (!overdue || inputs.peers.empty() || now < m_last_inquiry_at + inquiry_interval) {
        return std::nullopt;
    }
    m_last_inquiry_at = now;
    return inputs.peers[m_random.below(inputs.peers.size())];
}

} // namespace tamarack
