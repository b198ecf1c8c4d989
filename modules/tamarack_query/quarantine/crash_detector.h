#pragma once

#include "../targets/replica.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** The content of a request. Requests with the same service and body have the same content. */
struct request_content {
    std::uint64_t hash = 0;
    service_id service;
    std::shared_ptr<const std::string> body; ///< null if the content was reported by another host
    digest content_digest;                   ///< set if the body is null

    /** @return the digest under which the content is quarantined */
    digest quarantine_key() const;
};

/** @return the digest under which a request is quarantined */
digest quarantine_digest(const service_id& service, const std::string& body);

/**
 * Detects requests that crash the targets that run them, and limits the number of targets lost until a
 * request is detected.
 *
 * A content that no target has completed is exposed to at most two targets at a time, lost ones included. The
 * second of these must not run any other such content: otherwise the loss of the same two targets could be
 * attributed to either of two contents.
 *
 * A loss is a connection that breaks while the content runs. It counts as a crash once the target is gone or
 * refuses connections. It is dropped if the same process replies again or any target completes the content.
 * Two crashes lead to quarantine, unless so many targets were lost at the same time that there must be
 * another cause.
 */
class crash_detector {
public:
    /** How long a loss is kept, unless it is refuted earlier. */
    static constexpr duration loss_retention = 30s;

    /** @return whether the content may be sent to another target; if so, this is counted as an exposure */
    bool try_expose(const request_content& content);
    /** @return the number of targets to which the content is exposed, lost ones included */
    std::size_t exposures(std::uint64_t hash) const;
    /** Ends an exposure: the target has replied, or the exchange was not sent. */
    void end_exposure(std::uint64_t hash);
    /** Registers a request that is to continue when the content's exposure has changed. */
    void add_waiting(std::uint64_t hash, request_number request);
    /** Removes and returns the requests that wait for the content. */
    std::vector<request_number> take_waiting(std::uint64_t hash);

    /** Records that a connection broke while the content ran at a target. */
    void on_lost(time_point now, const request_content& content, std::uint64_t replica);
    /** Clears the losses of a content that a target has completed: it does not crash targets. */
    void on_completed(std::uint64_t hash);
    /** Drops the losses at a target that has replied again. @return contents whose exposure has changed */
    std::vector<std::uint64_t> on_target_alive(std::uint64_t replica);
    /**
     * Confirms the losses at a target that is gone, has a new incarnation, or refuses connections.
     *
     * @return contents to quarantine
     */
    std::vector<request_content> on_target_gone(time_point now, std::uint64_t replica);

    /** @return whether the content is suspected of having crashed two targets */
    bool is_suspected(std::uint64_t hash) const;
    /** @return whether the loss of any target is recorded */
    bool has_losses() const { return !m_lost_replicas.empty(); }
    /** Drops losses older than loss_retention. @return contents whose exposure has changed */
    std::vector<std::uint64_t> expire(time_point now);

private:
    struct loss {
        std::uint64_t replica = 0;
        time_point at{};
        bool confirmed = false;
    };

    struct content_record {
        request_content content;
        std::uint32_t exposed = 0;
        std::vector<loss> losses;
        std::vector<request_number> waiting;
    };

    std::unordered_map<std::uint64_t, content_record> m_contents;
    std::unordered_map<std::uint64_t, time_point> m_lost_replicas;

    bool is_mass_loss(time_point now) const;
    void erase_if_unused(std::uint64_t hash);
};

} // namespace tamarack
