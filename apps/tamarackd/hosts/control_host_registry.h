#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_settings/tamarack_settings.h>

#include <map>
#include <vector>

namespace tamarack {

/**
 * The control hosts that have introduced themselves to this one, and what may be done with them: form the
 * first history, replace lost voters.
 */
class control_host_registry {
public:
    /** @param chosen  the host's settings; must outlive this */
    explicit control_host_registry(const settings& chosen) : m_settings(chosen) {}

    /** A control host says which incarnation of its data folder it has. */
    void on_identity(time_point now, member_id member, data_center_id data_center);

    /**
     * On the first start of a deployment the first seed forms the history, once it has heard enough others.
     *
     * @param leader  as known here; empty while there is none
     * @return the voters to form it with; empty when it is not for this host to do, or not yet
     */
    std::vector<member_id> first_voters(const host_id& leader) const;

    /** @return all of them, for the leader's choice of voters */
    std::vector<voter_candidate> candidates(time_point now) const;

    /** @return their present identities, for operators */
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
