#include "control_client.h"

#include "claim_client.h"
#include "control_route.h"
#include "lease_client.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

// Renewals and operations are numbered from random starts in separate ranges, so that an answer to a former
// incarnation of this host, or to another kind of request, matches no request of this incarnation.
constexpr std::uint64_t start_range_size = std::uint64_t{1} << 60U;
constexpr std::uint64_t min_first_renewal = 1;
constexpr std::uint64_t min_first_operation = std::uint64_t{1} << 62U;

} // namespace

/** Combines the route to the leader, the lease client and the claim client. */
struct control_client::implementation {
    implementation(const control_client_options& options, random_source& random, time_point now)
        : m_route(
              options.control_hosts, options.retry,
              static_cast<std::size_t>(random.below(std::max<std::size_t>(options.control_hosts.size(), 1)))),
          m_lease(options, min_first_renewal + random.below(start_range_size), now),
          m_claims(options, min_first_operation + random.below(start_range_size)) {}

    void receive(time_point now, const lease_granted& message) {
        m_lease.on_granted(now, message, m_route, m_actions);
    }
    void receive(time_point now, const announce_update& message) {
        m_lease.on_update_announced(now, message);
    }
    void receive(time_point now, const claim_decided& message) {
        m_claims.on_decided(now, message, m_route, m_actions);
    }
    void receive(time_point now, const result_recorded& message) {
        m_claims.on_recorded(now, message, m_route);
    }
    void receive(time_point now, const leader_redirect& message) {
        if (message.known) {
            m_lease.adopt(now, message.known, m_actions);
        }
        m_route.on_redirect(now, message.from, message.leader);
        m_lease.on_redirect(now, message);
        m_claims.on_redirect(now, message);
    }
    template <typename Other>
    void receive(time_point, const Other&) {}

    /** Runs everything that is due and returns the collected actions. */
    control_client_actions finish(time_point now) {
        m_lease.on_timer(now, m_route, m_actions);
        m_claims.on_timer(now, m_route, m_actions);
        return std::exchange(m_actions, {});
    }

    control_route m_route;
    lease_client m_lease;
    claim_client m_claims;
    control_client_actions m_actions;
};

// The options are taken by value as declared; each component copies what it needs.
control_client::control_client(control_client_options options, // NOLINT(performance-unnecessary-value-param)
                               random_source random, time_point now)
    : m_implementation(std::make_unique<implementation>(options, random, now)) {}

control_client::~control_client() = default;
control_client::control_client(control_client&&) noexcept = default;
control_client& control_client::operator=(control_client&&) noexcept = default;

control_client_actions control_client::on_message(time_point now, const control_message& message) {
    std::visit([&](const auto& content) { m_implementation->receive(now, content); }, message);
    return m_implementation->finish(now);
}

control_client_actions control_client::on_timer(time_point now) {
    return m_implementation->finish(now);
}

control_client_actions control_client::commit(time_point now, std::uint64_t request, const claim& wanted,
                                              time_point deadline) {
    m_implementation->m_claims.commit(now, request, wanted, deadline, m_implementation->m_route,
                                      m_implementation->m_actions);
    return m_implementation->finish(now);
}

control_client_actions control_client::record(time_point now, const claim_result& ended) {
    m_implementation->m_claims.record(now, ended);
    return m_implementation->finish(now);
}

control_client_actions control_client::set_draining(time_point now, bool draining) {
    m_implementation->m_lease.set_draining(now, draining);
    return m_implementation->finish(now);
}

control_client_actions control_client::adopt(time_point now, shared_configuration accepted) {
    m_implementation->m_lease.adopt(now, std::move(accepted), m_implementation->m_actions);
    return m_implementation->finish(now);
}

void control_client::set_control_hosts(std::vector<host_id> hosts) {
    m_implementation->m_route.set_hosts(std::move(hosts));
}

control_client_actions control_client::release(time_point now) {
    m_implementation->m_lease.release(now, m_implementation->m_route, m_implementation->m_actions);
    return m_implementation->finish(now);
}

control_client_actions control_client::restart_lease(time_point now) {
    m_implementation->m_lease.restart(now, m_implementation->m_actions);
    return m_implementation->finish(now);
}

time_point control_client::next_timer() const {
    return std::min(m_implementation->m_lease.next_timer(), m_implementation->m_claims.next_timer());
}

const configuration& control_client::current() const {
    return *m_implementation->m_lease.current();
}
const shared_configuration& control_client::shared_current() const {
    return m_implementation->m_lease.current();
}
const assignment& control_client::assigned() const {
    return m_implementation->m_lease.assigned();
}
const assignment& control_client::assigned_before() const {
    return m_implementation->m_lease.assigned_before();
}
bool control_client::assignment_settled() const {
    return m_implementation->m_lease.assignment_settled();
}
const evacuation_orders& control_client::evacuations() const {
    return m_implementation->m_lease.evacuations();
}
bool control_client::evacuations_known() const {
    return m_implementation->m_lease.evacuations_known();
}
time_point control_client::lease_ends_at() const {
    return m_implementation->m_lease.lease_ends_at();
}
bool control_client::may_serve(time_point now) const {
    return m_implementation->m_lease.may_serve(now);
}
host_id control_client::leader() const {
    return m_implementation->m_route.leader();
}
std::size_t control_client::unrecorded_results() const {
    return m_implementation->m_claims.unrecorded_results();
}

} // namespace tamarack
