#pragma once

#include "target_model.h"

#include "support/net/event_loop.h"
#include "support/net/http_types.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarack::stand_in {

/** Announces a target periodically to its registrars, and follows the instructions in their answers. */
class announcer {
public:
    /**
     * @param loop         event loop on which it runs
     * @param model        target to announce
     * @param address      the target's own address
     * @param incarnation  random number that identifies this process
     */
    announcer(testing_support::event_loop& loop, const target_model& model, std::string address,
              std::uint64_t incarnation);

    /** Announces now, and from then on at the interval that the hosts request. */
    void announce();

    /** @return the number of accepted announcements */
    std::uint64_t accepted() const { return m_accepted; }

private:
    void try_next(std::uint64_t sequence, std::vector<std::string> hosts);
    void on_answer(std::uint64_t sequence, const std::vector<std::string>& remaining_hosts,
                   const std::optional<testing_support::plain_response>& response);
    void apply_receipt(const std::string& receipt);
    void schedule(std::uint64_t sequence, std::chrono::milliseconds delay);
    std::string text(std::uint64_t sequence) const;
    std::vector<std::string> hosts_to_try() const;

    testing_support::event_loop* m_loop;
    const target_model* m_model;
    std::string m_address;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_accepted = 0;
    std::vector<std::string> m_registrars;
    std::chrono::milliseconds m_interval{100};
};

} // namespace tamarack::stand_in
