#include <tamarack_control/tamarack_control.h>

#include <gtest/gtest.h>
#include <malloc.h>

#include <string>
#include <utility>

namespace tamarack {
namespace {

constexpr std::size_t hosts = 90;
constexpr std::size_t routes = 500;
constexpr std::size_t shards = 36;
constexpr duration batch_delay = 20ms;

std::size_t allocated_bytes() {
    const auto heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

ticket large_ticket() {
    route_table table;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        table.services.push_back({service_id{"shard-" + std::to_string(shard)}, "/health", 10});
    }
    for (std::size_t number = 0; number < routes; ++number) {
        route item;
        item.name = "r-" + std::to_string(number);
        item.authority = "h" + std::to_string(number) + ".example";
        item.prefix = "/p/";
        item.destination = route_destination::shards;
        for (const routed_service& service : table.services) {
            item.services.push_back({service.id, 1});
        }
        table.routes.push_back(std::move(item));
    }
    ticket result;
    result.number = ticket_number{1};
    result.routes = std::move(table);
    return result;
}

/** A control host that leads without peers, with disk writes that succeed at once. */
class lone_leader {
public:
    lone_leader() : m_node(m_self, fresh_folder(), {}, random_source{1}, m_now) {
        carry_out(value_of(m_node.bootstrap(m_now, {m_self})));
        while (m_node.report(m_now).role != raft_role::leader) {
            advance(100ms);
        }
    }

    /** @return the messages to hosts that became due */
    std::vector<control_message> advance(duration time) {
        m_now += time;
        return carry_out(m_node.on_timer(m_now, wall_time{0}));
    }

    void receive(const control_message& message) {
        carry_out(m_node.on_control_message(m_now, wall_time{0}, message));
    }

    void submit(ticket candidate) {
        carry_out(m_node.submit_ticket(m_now, wall_time{0}, 1, std::move(candidate)));
    }

    /** The disk fails, so it can't lead any more. @return the messages to hosts */
    std::vector<control_message> lose_disk() { return carry_out(m_node.on_persist_failed(m_now)); }

    const configuration& current() const { return m_node.state().tickets().current(); }

private:
    static recovered_log fresh_folder() {
        recovered_log found;
        found.fresh = true;
        return found;
    }

    std::vector<control_message> carry_out(control_actions actions) {
        std::vector<control_message> sent;
        for (control_action& action : actions) {
            if (const auto* change = std::get_if<store_change>(&action)) {
                for (control_message& later : carry_out(m_node.on_persisted(m_now, change->change.number))) {
                    sent.push_back(std::move(later));
                }
            } else if (auto* message = std::get_if<send_control_message>(&action)) {
                sent.push_back(std::move(message->message));
            }
        }
        return sent;
    }

    member_id m_self{host_id{"c0"}, incarnation_id{7}};
    time_point m_now{1h};
    control_node m_node;
};

renew_lease renewal_of(std::size_t host, std::uint64_t number) {
    renew_lease renewal;
    renewal.from = host_id{"e" + std::to_string(host)};
    renewal.incarnation = incarnation_id{1};
    renewal.renewal.number = number;
    return renewal;
}

/** A leader of a large configuration to which each host has sent a renewal. */
struct large_grants : ::testing::Test {
    large_grants() {
        m_leader.submit(large_ticket());
        const std::size_t before = allocated_bytes();
        const configuration copy = m_leader.current();
        m_size = allocated_bytes() - before;
        for (std::size_t host = 0; host < hosts; ++host) {
            m_leader.receive(renewal_of(host, 1));
        }
    }

    lone_leader m_leader;
    std::size_t m_size = 0; ///< bytes that one copy of the configuration takes
};

/** Guards against a leader that runs out of memory beside a large ticket, as it copies the configuration for
 * each host that renews its lease. */
TEST_F(large_grants, share_one_configuration) {
    const std::size_t before = allocated_bytes();
    const std::vector<control_message> grants = m_leader.advance(batch_delay);
    ASSERT_EQ(grants.size(), hosts);
    EXPECT_LT(allocated_bytes(), before + m_size);
}

/** The same for a leader that steps down, and passes the configuration on with its redirects. */
TEST_F(large_grants, share_one_configuration_with_redirects) {
    const std::size_t before = allocated_bytes();
    const std::vector<control_message> redirects = m_leader.lose_disk();
    ASSERT_EQ(redirects.size(), hosts);
    EXPECT_LT(allocated_bytes(), before + m_size);
}

/** Guards against a leader that grants a host several leases at once after it has stood still. */
TEST_F(large_grants, go_to_the_latest_renewal_of_each_host) {
    for (std::size_t host = 0; host < hosts; ++host) {
        m_leader.receive(renewal_of(host, 2));
        m_leader.receive(renewal_of(host, 1)); // late
    }
    const std::vector<control_message> grants = m_leader.advance(batch_delay);
    ASSERT_EQ(grants.size(), hosts);
    for (const control_message& grant : grants) {
        EXPECT_EQ(std::get<lease_granted>(grant).grant.number, 2U);
    }
}

} // namespace
} // namespace tamarack
