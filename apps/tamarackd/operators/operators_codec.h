#pragma once

#include "../control/control_worker.h"
#include "../hosts/hosts_worker.h"

#include <json/value.h>

namespace tamarack {

/** @return a ticket's answer as HTTP: 200, 409 or 422 by its verdict */
http_response to_response(const ticket_answer& answer);

/** @return faults of a ticket that could not be read, as HTTP 422 */
http_response to_response(const ticket_faults& faults);

/** @return what this host and the control host on it know, as JSON */
Json::Value encode_overview(const settings& chosen, const hosts_overview& hosts,
                            const control_overview* control, time_point now);

/** @return the latest ticket and whether it is in force everywhere, as JSON */
Json::Value encode_in_force(const control_overview& control);

/** @return the accepted tickets that are remembered, newest last, as JSON */
Json::Value encode_history(const std::vector<accepted_ticket>& history);

} // namespace tamarack
