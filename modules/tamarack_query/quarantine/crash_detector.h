#pragma once

#include "../targets/replica.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/** The content of a request: the same service and body are the same content. */
struct request_content {
    std::uint64_t hash = 0;
    service_id service;
    std::shared_ptr<const std::string> body; ///< null when another host told of the content
    digest content_digest;                   ///< set when the body is null

    /** @return the digest under which the content is quarantined */
    digest quarantine_key() const;
};

/** @return the digest under which a request is quarantined */
digest quarantine_digest(const service_id& service, const std::string& body);

/**
 * Finds requests that crash the targets that run them, and bounds what they cost before they are found.
 *
 * A content that no target has completed is exposed to at most two targets at a time, lost ones included; the
 * second of them is to run no other such content, so that no two contents lose the same two targets. A
 * connection that breaks while the content runs is a loss; it counts as a crash once the target is gone or
 * refuses connections, and is forgotten once the same process replies again or the content is completed
 * anywhere. Two crashes make a quarantine, unless so many targets went at once that the cause lies elsewhere.
 */
class crash_detector {
public:
    /** How long a loss waits to be confirmed or refuted. */
    static constexpr duration loss_retention = 30s;

    /** @return whether the content may be sent to a further target; it is then counted as exposed */
    bool try_expose(const request_content& content);
    /** @return targets to which the content is exposed, lost ones included */
    std::size_t exposures(std::uint64_t hash) const;
    /** A target replied, or the exchange was not sent after all. */
    void end_exposure(std::uint64_t hash);
    /** Has the request continue when the content's exposure has changed. */
    void wait(std::uint64_t hash, request_number request);
    /** @return the requests that waited, no longer waiting */
    std::vector<request_number> take_waiting(std::uint64_t hash);

    /** A connection broke while the content ran at a target. */
    void on_lost(time_point now, const request_content& content, std::uint64_t replica);
    /** A target completed the content: it crashes nothing. */
    void on_completed(std::uint64_t hash);
    /** A target that lost connections has replied again. @return contents whose exposure has changed */
    std::vector<std::uint64_t> on_target_alive(std::uint64_t replica);
    /** A target is gone, known under a new incarnation, or refuses connections. @return contents to
     * quarantine */
    std::vector<request_content> on_target_gone(time_point now, std::uint64_t replica);

    /** @return whether two targets may have been lost to the content */
    bool is_suspected(std::uint64_t hash) const;
    /** @return whether a target lost connections while an exchange ran there */
    bool has_losses() const { return !m_lost_replicas.empty(); }
    /** Forgets losses that were neither confirmed nor refuted for long. @return as on_target_alive */
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
