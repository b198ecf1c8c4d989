#pragma once

#include <tamarack_base/tamarack_base.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace tamarack {

/** A step in what a host knows about a target's request limit. */
enum class limit_step {
    stated,   ///< the target states a limit for the first time
    changed,  ///< the target states a considerably different limit
    lifted,   ///< the target no longer states a limit
    in_force, ///< periodic report while a limit is in force
};

template <>
struct name_table<limit_step> {
    static constexpr std::array<std::pair<limit_step, std::string_view>, 4> entries{{
        {limit_step::stated, "stated"},
        {limit_step::changed, "changed"},
        {limit_step::lifted, "lifted"},
        {limit_step::in_force, "in_force"},
    }};
};

/** What one host sent to a target while its limit was in force. */
struct limit_use {
    std::uint32_t sent = 0;  ///< exchanges, extra ones included
    std::uint32_t extra = 0; ///< hedges and retries
};

/** The limit on requests that a target states in its replies while it is short of capacity. */
class request_limit {
public:
    /**
     * Handles a reply of the target.
     *
     * @param sent_at  when the exchange was sent
     * @param stated   requests a second that the target takes from all hosts together; absent if it states no
     * limit
     * @return the step, if the reply changes what is known
     */
    std::optional<limit_step> on_reply(time_point now, time_point sent_at, std::optional<double> stated);

    bool in_force() const { return m_rate.has_value(); }
    /** @return requests a second from all hosts together; 0 if no limit is in force */
    double rate() const { return m_rate.value_or(0.0); }
    /** @return time of the latest statement, or of the reply that lifted the limit */
    time_point heard_at() const { return m_heard_at; }

private:
    std::optional<double> m_rate;
    time_point m_heard_at{};
};

} // namespace tamarack
