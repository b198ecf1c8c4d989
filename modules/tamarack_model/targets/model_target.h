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

/** Identifies a connection at a target by the host's index and the connection's number on that host. */
struct link_id {
    std::size_t host = 0;
    connection_number connection = 0;

    bool operator==(const link_id&) const = default;
    bool operator<(const link_id& other) const {
        return host != other.host ? host < other.host : connection < other.connection;
    }
};

/** Callbacks through which a target reports replies, lost connections, crashes and started exchanges. */
struct target_callbacks {
    std::function<void(const link_id&, exchange_reply)> replied;
    std::function<void(const link_id&)> lost;
    std::function<void(const std::string& body)> crashed_by;
    std::function<void(const exchange&)> ran; ///< called when an exchange starts to run
};

/** Probabilities of the faults that a target injects into its replies. */
struct reply_faults {
    double duplicate = 0;
    double wrong_exchange = 0; ///< sends the previous exchange's reply instead
    double truncated = 0;
    double wrong_number = 0;
    double wrong_version = 0;
    double failed = 0;
};

/** Fixed properties of a target. */
struct target_profile {
    target_id name;
    shard_id shard;
    std::uint32_t ordinal = 0; ///< of the replica within its shard
    data_center_id data_center;
    std::uint64_t sample_key = 0; ///< varies service times between targets
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    duration connection_cost{};
};

/** Peaks of concurrent exchanges and connections; they must not exceed the target's slots and connections. */
struct target_peaks {
    std::uint32_t running = 0;
    std::uint32_t connections = 0;
};

/** Models the behaviour of a replica process that the query engine can observe. */
class model_target {
public:
    model_target(event_queue& events, target_profile profile, const service_times& times, std::uint64_t seed,
                 target_callbacks callbacks);

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
    duration cold_start_time{}; ///< time after a start during which it is slow
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
    target_callbacks m_callbacks;
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
    void inject_reply_faults(const link_id& link, exchange_reply& reply);
    running_exchange take(std::uint64_t token);
    bool is_running(std::uint64_t token) const;
};

/** @return the correct reply body of an exchange; it contains the request, shard and version */
std::string part_body(const request_id& request, const shard_id& shard, const index_version& version);

/** Body prefix of requests that crash the targets they run on. */
inline constexpr std::string_view poison = "poison";

} // namespace tamarack
