#pragma once

#include "../engine/query_actions.h"
#include "connection.h"

#include <unordered_map>

namespace tamarack {

/**
 * The connections of one host to its targets, at most as many a target as this host's share.
 *
 * Exchanges wait for any idle connection rather than for one of their own; connections are opened ahead.
 */
class connection_pool {
public:
    /** @param limited  whether the share of connections is kept to; switched off only by tests */
    explicit connection_pool(bool limited) : m_limited(limited) {}

    /** @return the connection, or nullptr when it is closed */
    connection* find(connection_number number);

    /** @return whether a further connection to the target may be opened now */
    bool may_dial(const replica& target, time_point now) const;
    /** Opens a connection. */
    void dial(const replica_pointer& target, query_actions& out);
    /** @return the idle connection that was used last, no longer idle; or nullptr */
    connection* take_idle(replica& target);

    /** @return the idle connection of this number, no longer idle */
    connection& take(connection_number number);

    /** The connection was opened. */
    void on_opened(connection& opened, time_point now);
    /** The connection carries nothing any more. */
    void release(connection& freed);
    /** Closes idle connections to a target that is leaving, or beyond this host's share. */
    void trim(replica& target, query_actions& out);
    /** Closes and forgets a connection. */
    void close(connection_number number, query_actions& out);
    /** The target has given up a connection that was closed unknown to it. */
    static void release_lingering(replica& target);
    /** @return idle connections to the target from which no byte has come since a moment */
    std::vector<connection_number> list_stale_idle(const replica& target, time_point since);
    /** Forgets a connection that the other side closed. @return the connection as it was */
    connection forget(connection_number number);

private:
    std::unordered_map<connection_number, connection> m_connections;
    connection_number m_last = 0;
    bool m_limited;

    static void clear_exchange(connection& freed);
};

} // namespace tamarack
