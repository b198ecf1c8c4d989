#include "peer_inquiry.h"

namespace tamarack {

namespace {

/** Between two inquiries: a configuration is in force within seconds, so that it is asked for a few times. */
constexpr duration inquiry_interval = 500ms;
/** A lease that was not renewed for this share of its length says that the control hosts are out of reach. */
constexpr int overdue_share = 2;

} // namespace

std::optional<host_id> peer_inquiry::next(time_point now, const inquiry_inputs& inputs) {
    const bool overdue = inputs.lease_ends_at < now + inputs.lease_length / overdue_share;
    if (!overdue || inputs.peers.empty() || now < m_asked_at + inquiry_interval) {
        return std::nullopt;
    }
    m_asked_at = now;
    return inputs.peers[m_random.below(inputs.peers.size())];
}

} // namespace tamarack
