#pragma once

#include "../time/event_queue.h"
#include "service_times.h"
#include <tamarack_query/tamarack_query.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** Names a connection at a target: the host's index and the connection's number there. */
struct link_id {
    std::size_t host = 0;
    connection_number connection = 0;

    bool operator==(const link_id&) const = default;
    bool operator<(const link_id& other) const {
        return host != other.host ? host < other.host : connection < other.connection;
    }
};

/** What a target tells the world about a connection. */
struct target_events {
    std::function<void(const link_id&, exchange_reply)> replied;
    std::function<void(const link_id&)> lost;
    std::function<void(const std::string& body)> crashed_by;
    std::function<void(const exchange&)> ran; ///< an exchange began to run
};

/** Wrong replies that a target sends, each with this probability. */
struct reply_faults {
    double duplicate = 0;
    double crossed = 0; ///< another exchange's reply
    double truncated = 0;
    double wrong_number = 0;
    double wrong_version = 0;
    double failed = 0;
};

/** Fixed properties of a target. */
struct target_profile {
    target_id name;
    shard_id shard;
    std::uint32_t ordinal = 0; ///< of the replica in its shard
    data_center_id data_center;
    std::uint64_t place = 0; ///< distinguishes it when service times are drawn
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    duration connection_cost{};
};

/** Most that was in use at once, of which the limits are an upper bound. */
struct target_peaks {
    std::uint32_t running = 0;
    std::uint32_t connections = 0;
};

/** A replica process, as far as the engine can notice it. */
class model_target {
public:
    model_target(event_queue& events, target_profile profile, const service_times& times, std::uint64_t seed,
                 target_events told);

    const target_profile& profile() const { return m_profile; }
    incarnation_id incarnation() const { return m_incarnation; }
    bool is_up() const { return m_up; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    const target_peaks& peaks() const { return m_peaks; }
    std::uint64_t exchanges_run() const { return m_exchanges_run; }
    std::uint64_t connections_accepted() const { return m_accepted; }

    /** @return whether the connection is accepted */
    bool on_open(const link_id& link);
    void on_close(const link_id& link);
    void on_exchange(const link_id& link, exchange request);
    void on_cancel(std::size_t host, exchange_number number);

    void crash();
    void start();

    bool draining = false;
    bool shedding = false;
    double slowness = 1.0;
    std::vector<offered_version> versions;
    reply_faults faults;
    duration cold_length{}; ///< after a start it is slow for so long
    double cold_slowness = 3.0;

private:
    struct running_exchange {
        link_id link;
        exchange request;
        std::uint64_t token = 0;
    };

    event_queue& m_events;
    target_profile m_profile;
    const service_times& m_times;
    std::uint64_t m_seed;
    target_events m_told;
    random_source m_random;
    incarnation_id m_incarnation{1};
    bool m_up = true;
    time_point m_started_at{};
    std::map<link_id, bool> m_links;
    std::vector<running_exchange> m_running;
    std::uint64_t m_last_token = 0;
    target_peaks m_peaks;
    std::uint64_t m_exchanges_run = 0;
    std::uint64_t m_accepted = 0;
    exchange_reply m_last_reply;

    bool holds(const index_version& version) const;
    void refuse(const link_id& link, const exchange& request, exchange_status status);
    void run(const link_id& link, exchange request);
    void finish(std::uint64_t token);
    void stop(std::uint64_t token);
    void reply(const running_exchange& ended, exchange_status status);
    void misreply(const link_id& link, exchange_reply& reply);
    running_exchange take(std::uint64_t token);
    bool is_running(std::uint64_t token) const;
};

/** @return what a target replies to an exchange: it names request, shard and version */
std::string part_of(const request_id& request, const shard_id& shard, const index_version& version);

/** Start of the body of a request that crashes its targets. */
inline constexpr std::string_view poison = "poison";

} // namespace tamarack
