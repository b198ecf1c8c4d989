#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_settings/tamarack_settings.h>

#include <map>
#include <vector>

namespace tamarack {

/**
 * The control hosts that have announced their identity to this host. Used to bootstrap the replicated log and
 * to replace lost voters.
 */
class control_host_registry {
public:
    /** @param host_settings  the host's settings; must outlive this object */
    explicit control_host_registry(const settings& host_settings) : m_settings(host_settings) {}

    /** A control host has announced its identity, which includes the incarnation of its data folder. */
    void on_identity(time_point now, member_id member, data_center_id data_center);

    /**
     * Determines whether this host bootstraps the replicated log: on the first start of a deployment the
     * first seed does, once it has received the identities of all first voters.
     *
     * @param leader  as known to this host; empty if there is none
     * @return the first voters; empty if this host must not bootstrap, or not yet
     */
    std::vector<member_id> first_voters(const host_id& leader) const;

    /** @return all known control hosts as candidates, from which the leader chooses voters */
    std::vector<voter_candidate> candidates(time_point now) const;

    /** @return the latest identity of each control host, for operators' calls */
    std::map<host_id, member_id> identities() const;

private:
    struct known_control_host {
        member_id member;
        data_center_id data_center;
        time_point last_seen;
    };

    const settings& m_settings;
    std::map<host_id, known_control_host> m_hosts;
};

} // namespace tamarack
