#pragma once

#include "host_table.h"
#include "membership_message.h"
#include "news_queue.h"

#include <cstddef>
#include <vector>

namespace tamarack {

/**
 * This host's own record, the other hosts' records, and the news that is still to be told.
 *
 * Applies what arrives, refutes what is wrong about this host, and composes what is sent.
 *
 * @see failure_detector, which owns it
 */
class membership_state {
public:
    /**
     * @param self         this host's own record
     * @param news_copies  copies of a piece of news on probes, times log2 of the number of hosts
     * @param news_age     how long a piece of news rides on probes at most
     * @param direct_hosts up to so many hosts, whoever has news pushes it to all, and nobody pushes it on
     * @param now          time of the start
     */
    membership_state(host_record self, double news_copies, duration news_age, std::size_t direct_hosts,
                     time_point now);

    /** @return whether news is pushed to all hosts by the one that has it first */
    bool pushes_directly() const { return m_hosts.running().size() + 1 <= m_direct_hosts; }

    /** Applies news. @return the hosts whose record changed */
    std::vector<host_record> absorb(time_point now, const membership_news& news, target_registry& registry);

    /**
     * Applies records from a comparison of states.
     *
     * @param tell_others  whether they are news for others too; not when this host merely catches up
     * @return the hosts whose record changed
     */
    std::vector<host_record> absorb_compared(time_point now, const membership_news& records,
                                             target_registry& registry, bool tell_others);

    /** Changes another host's state as observed here. @return the changed records */
    std::vector<host_record> observe(time_point now, const host_id& host, host_state state);

    /** Changes what this host says of itself, as a new version. */
    void change_self(time_point now, bool draining, host_state state);

    void change_load(time_point now, std::uint32_t load);

    /** Takes the registry's changes as news, and tells it when hosts changed. */
    void exchange_with(time_point now, target_registry& registry);

    /** Tells this host's own record as news. */
    void tell_self(time_point now);

    /** @return news for a probe, led by the record of one host when that host is not known as alive */
    membership_news compose_for_probe(time_point now, const target_registry& registry,
                                      const host_id& receiver, std::size_t most);

    /** @return news that has not been pushed yet */
    membership_news compose_for_push(const target_registry& registry, std::size_t most);

    /** @return all known hosts, this one first */
    std::vector<host_record> all_hosts() const;

    /** @return whether a running host is known at this address */
    bool reaches(const endpoint& address) const;

    const host_record& self() const { return m_self; }
    host_table& hosts() { return m_hosts; }
    const host_table& hosts() const { return m_hosts; }
    const news_queue& news() const { return m_news; }

private:
    bool absorb_host(time_point now, const host_record& record, bool tell_others);
    void refute(time_point now, const host_record& claim);
    /** Whether news was seen here first, or came from another host. */
    enum class news_origin {
        own,
        heard,
    };
    void tell(time_point now, const host_record& record, news_origin origin);
    void tell(time_point now, const target_record& record, news_origin origin);
    bool is_pushed(news_origin origin) const { return origin == news_origin::own || !pushes_directly(); }
    std::size_t copies() const;
    membership_news records_of(const std::vector<news_queue::topic>& topics,
                               const target_registry& registry) const;

    host_record m_self;
    double m_news_copies;
    duration m_news_age;
    std::size_t m_direct_hosts;
    host_table m_hosts;
    news_queue m_news;
    std::uint64_t m_told_generation = 0;
    bool m_told_draining = false;
};

} // namespace tamarack
