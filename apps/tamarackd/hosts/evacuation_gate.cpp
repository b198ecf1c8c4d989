#include "evacuation_gate.h"

#include <tamarack_telemetry/tamarack_telemetry.h>

#include <string>

namespace tamarack {

evacuation_gate::evacuation_gate(bool orders_possible, time_point started)
    : m_open_at(orders_possible ? started + max_wait : started) {}

void evacuation_gate::on_orders(const evacuation_orders& latest, bool known) {
    m_known = m_known || known;
    if (latest.epoch == m_epoch) {
        return;
    }
    m_epoch = latest.epoch;
    m_evacuated.assign(latest.data_centers.begin(), latest.data_centers.end());
    std::string names;
    for (const data_center_id& name : m_evacuated) {
        names += (names.empty() ? "" : ",") + name.value();
    }
    log_state_change(log_level::info, "evacuations_changed", {},
                     {{"data_centers", names}, {"epoch", std::to_string(m_epoch)}});
}

bool evacuation_gate::may_send(time_point now) const {
    return m_known || now >= m_open_at;
}

} // namespace tamarack
