#pragma once

#include "crash_suspicion_confirmations.h"

#include <tamarack_query/tamarack_query.h>

#include <json/value.h>

#include <functional>
#include <map>
#include <string>

namespace tamarack {

/** Method of the notification that carries a suspicion. */
inline const std::string suspicion_method = "suspicion.tell";
/** Method of the notification that confirms a suspicion. */
inline const std::string suspicion_confirmation_method = "suspicion.known";

/**
 * Broadcasts suspicions that a request crashes targets to the other hosts of a service, and confirms the
 * suspicions that they broadcast.
 *
 * @see crash_suspicion_confirmations, which waits for the confirmations
 */
class crash_suspicion_notifier {
public:
    /** Sends a notification to an address. */
    using sender = std::function<void(const endpoint&, const std::string& method, Json::Value)>;

    crash_suspicion_notifier(host_id self, sender send);

    /**
     * Broadcasts a suspicion.
     *
     * @param hosts         the other live hosts of the service, with their addresses
     * @param on_confirmed  called once all of them have confirmed, or after the timeout
     */
    void broadcast(time_point now, const broadcast_crash_suspicion& found,
                   const std::map<host_id, endpoint>& hosts, std::function<void()> on_confirmed);

    /**
     * Handles a suspicion that another host has broadcast.
     *
     * @param address_of  looks up the sender's address
     * @param accept      passes the suspicion to the query engine; if it returns false, no confirmation is
     * sent
     */
    void on_notification(const Json::Value& parameters,
                         const std::function<endpoint(const host_id&)>& address_of,
                         const std::function<bool(const broadcast_crash_suspicion&)>& accept);

    /** Handles a confirmation from another host. */
    void on_confirmation(const Json::Value& parameters);

    void on_timer(time_point now) { m_confirmations.on_timer(now); }
    time_point next_timer() const { return m_confirmations.next_timer(); }

private:
    host_id m_self;
    sender m_send;
    crash_suspicion_confirmations m_confirmations;
};

} // namespace tamarack
