#pragma once

#include "crash_suspicion_confirmations.h"

#include <tamarack_query/tamarack_query.h>

#include <json/value.h>

#include <functional>
#include <map>
#include <string>

namespace tamarack {

/** Name of the notification that tells a suspicion. */
inline const std::string suspicion_method = "suspicion.tell";
/** Name of the notification that confirms one. */
inline const std::string suspicion_confirmation_method = "suspicion.known";

/**
 * Tells suspicions of crashing requests to a service's other hosts, and confirms theirs.
 *
 * @see crash_suspicion_confirmations, which waits for the confirmations
 */
class crash_suspicion_notifier {
public:
    /** Sends a notification to an address. */
    using sender = std::function<void(const endpoint&, const std::string& method, Json::Value)>;

    crash_suspicion_notifier(host_id self, sender send);

    /**
     * Tells a suspicion.
     *
     * @param hosts  the service's other hosts that are alive, with their addresses
     * @param known  called once they have confirmed, or did not in time
     */
    void broadcast(time_point now, const broadcast_crash_suspicion& found,
                   const std::map<host_id, endpoint>& hosts, std::function<void()> on_confirmed);

    /**
     * Another host told a suspicion.
     *
     * @param address_of  finds the teller's address
     * @param accept      hands the suspicion to the query engine; a suspicion not accepted is not confirmed
     */
    void on_notification(const Json::Value& parameters,
                         const std::function<endpoint(const host_id&)>& address_of,
                         const std::function<bool(const broadcast_crash_suspicion&)>& accept);

    /** Another host confirmed. */
    void on_confirmation(const Json::Value& parameters);

    void on_timer(time_point now) { m_confirmations.on_timer(now); }
    time_point next_timer() const { return m_confirmations.next_timer(); }

private:
    host_id m_self;
    sender m_send;
    crash_suspicion_confirmations m_confirmations;
};

} // namespace tamarack
