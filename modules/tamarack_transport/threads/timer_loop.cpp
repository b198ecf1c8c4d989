#include "timer_loop.h"

#include <optional>
#include <utility>

namespace tamarack {

struct timer_loop::implementation : std::enable_shared_from_this<implementation> {
    implementation(worker_thread& owner, std::function<time_point()> due_time,
                   std::function<void(time_point)> handler)
        : thread(owner), due(std::move(due_time)), handle(std::move(handler)) {}

    void rearm() {
        const time_point next_due = due();
        if (next_due == time_point::max() || (armed && *armed <= next_due)) {
            return;
        }
        armed = next_due;
        thread.run_at(next_due, [weak = weak_from_this(), next_due] {
            if (const auto self = weak.lock()) {
                self->on_due(next_due);
            }
        });
    }

    void on_due(time_point when) {
        if (armed != when) {
            return;
        }
        armed.reset();
        const time_point now = steady_now();
        if (due() <= now) {
            handle(now);
        }
        rearm();
    }

    worker_thread& thread;
    std::function<time_point()> due;
    std::function<void(time_point)> handle;
    std::optional<time_point> armed;
};

timer_loop::timer_loop(worker_thread& thread, std::function<time_point()> due,
                       std::function<void(time_point)> handle)
    : m_implementation(std::make_shared<implementation>(thread, std::move(due), std::move(handle))) {}

void timer_loop::rearm() {
    m_implementation->rearm();
}

} // namespace tamarack
