#include "control_message.h"

namespace tamarack {

bool holds_configuration(const control_message& message) {
    if (const auto* granted = std::get_if<lease_granted>(&message)) {
        return granted->newer_configuration.has_value();
    }
    const auto* redirect = std::get_if<leader_redirect>(&message);
    return redirect != nullptr && redirect->known.has_value();
}

} // namespace tamarack
