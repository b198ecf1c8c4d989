#pragma once

#include "extra_budget.h"

#include <memory>
#include <utility>

namespace tamarack {

/**
 * One exchange beyond the first of a part, charged to its service's budget from the decision on.
 *
 * Shared by the exchanges of the part of which any may be the last to reach its target: the charge falls into
 * the window in which the last of them is answered or lost. One that was never sent costs nothing.
 */
class extra_exchange_charge {
public:
    /**
     * @param budget  on which the charge is open
     * @param now     the engine's time; must outlive the charge
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
