#pragma once

#include "../control/control_worker.h"
#include "../hosts/hosts_worker.h"

#include <json/value.h>

namespace tamarack {

/** @return the answer to a ticket as HTTP: status 200, 409 or 422, depending on the verdict */
http_response to_response(const ticket_answer& answer);

/** @return the faults of a ticket that could not be parsed, as HTTP 422 */
http_response to_response(const ticket_faults& faults);

/** @return the state of this host, and of its control worker if `control` is given, as JSON */
Json::Value encode_overview(const settings& host_settings, const hosts_overview& hosts,
                            const control_overview* control, time_point now);

/** @return the latest ticket and whether it is in force on all hosts, as JSON */
Json::Value encode_in_force(const control_overview& control);

/** @return the retained accepted tickets, newest last, as JSON */
Json::Value encode_history(const std::vector<accepted_ticket>& history);

} // namespace tamarack
