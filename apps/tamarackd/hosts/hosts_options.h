#pragma once

#include <tamarack_control/tamarack_control.h>
#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_settings/tamarack_settings.h>
#include <tamarack_transport/tamarack_transport.h>

#include <vector>

namespace tamarack {

/** @return whether a host with these settings serves callers */
bool serves_callers(const settings& host_settings);

/** @return limits of the HTTP server for messages from other hosts */
http_server_limits host_server_limits(const settings& host_settings);

/** @return options of the control client. @param address  address that control hosts reply to */
control_client_options client_options_of(const settings& host_settings, incarnation_id incarnation,
                                         const endpoint& address);

/** @return options of the target registry */
registry_options registry_options_of(const settings& host_settings);

/** @return options of the failure detector */
detector_options detector_options_of(const settings& host_settings);

/** @return this host's own record at its start; draining, so that the directory does not list it yet */
host_record own_record_of(const settings& host_settings, incarnation_id incarnation, const endpoint& hosts,
                          const endpoint& callers);

/** @return records of the seeds except this host */
std::vector<host_record> seed_records_of(const settings& host_settings);

} // namespace tamarack
