#include "control_message.h"

namespace tamarack {

shared_configuration configuration_of(const control_message& message) {
    if (const auto* granted = std::get_if<lease_granted>(&message)) {
        return granted->newer_configuration;
    }
    const auto* redirect = std::get_if<leader_redirect>(&message);
    return redirect != nullptr ? redirect->known : nullptr;
}

} // namespace tamarack
