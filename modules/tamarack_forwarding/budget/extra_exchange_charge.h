#pragma once

#include "extra_budget.h"

#include <memory>
#include <utility>

namespace tamarack {

/**
 * Charge to a service's budget for one extra exchange of a part, opened when the exchange is decided on.
 *
 * Shared by all exchanges of the part, as any of them may be the last to reach its target: the charge falls
 * into the window in which the last of them is answered or lost. An exchange that was never sent costs
 * nothing.
 */
class extra_exchange_charge {
public:
    /**
     * @param budget  budget in which the charge was opened
     * @param now     the engine's current time; must outlive the charge
     */
    extra_exchange_charge(std::shared_ptr<extra_budget> budget, const time_point& now)
        : m_budget(std::move(budget)), m_now(now) {}
    ~extra_exchange_charge() { m_sent ? m_budget->close(m_now) : m_budget->cancel(); }
    extra_exchange_charge(const extra_exchange_charge&) = delete;
    extra_exchange_charge& operator=(const extra_exchange_charge&) = delete;
    extra_exchange_charge(extra_exchange_charge&&) = delete;
    extra_exchange_charge& operator=(extra_exchange_charge&&) = delete;

    void on_sent() { m_sent = true; }

private:
    std::shared_ptr<extra_budget> m_budget;
    const time_point& m_now;
    bool m_sent = false;
};

using extra_exchange_charge_pointer = std::shared_ptr<extra_exchange_charge>;

} // namespace tamarack
