#pragma once

#include "../engine/query_actions.h"
#include "connection.h"

#include <unordered_map>

namespace tamarack {

/**
 * The connections of one host to its targets, limited per target to this host's share.
 *
 * Connections are opened ahead of use. A waiting exchange takes any connection that becomes idle; it does not
 * wait for a connection opened for it.
 */
class connection_pool {
public:
    /** @param limited  whether the share of connections is enforced; only tests switch this off */
    explicit connection_pool(bool limited) : m_limited(limited) {}

    /** @return the connection, or nullptr if it is closed */
    connection* find(connection_number number);

    /** @return whether another connection to the target may be opened now */
    bool may_dial(const replica& target, time_point now) const;
    /** Starts to open a connection. */
    void dial(const replica_pointer& target, query_actions& out);
    /** Takes the most recently used idle connection. @return the connection, or nullptr if none is idle */
    connection* take_idle(replica& target);

    /** Takes the idle connection with this number. */
    connection& take(connection_number number);

    /** Called when the connection is open. */
    void on_opened(connection& opened, time_point now);
    /** Makes a connection idle after its exchange or probe has ended. */
    void release(connection& freed);
    /** Closes idle connections to a leaving or unlisted target, and those beyond this host's share. */
    void trim(replica& target, query_actions& out);
    /** Closes a connection and removes it from the pool. */
    void close(connection_number number, query_actions& out);
    /**
     * Stops counting a connection that this host closed without the target noticing; by now the target has
     * dropped it.
     */
    static void release_lingering(replica& target);
    /** @return idle connections to the target on which nothing has been received since `since` */
    std::vector<connection_number> list_stale_idle(const replica& target, time_point since);
    /** Removes a connection that the other side closed. @return its last state */
    connection forget(connection_number number);

private:
    std::unordered_map<connection_number, connection> m_connections;
    connection_number m_last = 0;
    bool m_limited;

    static void clear_exchange(connection& freed);
};

} // namespace tamarack
