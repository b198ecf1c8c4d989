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
class repeat_charge {
public:
    /**
     * @param budget  on which the charge is open
     * @param now     the engine's time; must outlive the charge
     */
    repeat_charge(std::shared_ptr<extra_budget> budget, const time_point& now)
        : m_budget(std::move(budget)), m_now(now) {}
    ~repeat_charge() { m_sent ? m_budget->close(m_now) : m_budget->cancel(); }
    repeat_charge(const repeat_charge&) = delete;
    repeat_charge& operator=(const repeat_charge&) = delete;
    repeat_charge(repeat_charge&&) = delete;
    repeat_charge& operator=(repeat_charge&&) = delete;

    void on_sent() { m_sent = true; }

private:
    std::shared_ptr<extra_budget> m_budget;
    const time_point& m_now;
    bool m_sent = false;
};

using repeat_charge_pointer = std::shared_ptr<repeat_charge>;

} // namespace tamarack
