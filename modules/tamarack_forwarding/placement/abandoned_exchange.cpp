#include "abandoned_exchange.h"

namespace tamarack {

namespace {

/** A queue that was reported earlier may have been worked off. */
constexpr duration max_report_age = 300ms;

} // namespace

bool cancels_work(const abandoned_exchange& abandoned) {
    return abandoned.load && abandoned.report_age < max_report_age &&
           abandoned.load->running + abandoned.load->waiting > abandoned.slots;
}

} // namespace tamarack
