#pragma once

#include "virtual_network.h"

namespace tamarack::testing {

/** Size and layout of a network for a test run. */
struct network_shape {
    std::size_t hosts = 10;
    std::size_t data_centers = 4;
    std::size_t targets = 30;
    bool preregistered =
        false; ///< targets are registered on all hosts from the beginning, for large networks
};

inline std::string data_center_name(std::size_t index) {
    return "dc-" + std::to_string(index);
}

/** Creates a network of running hosts and announced targets, and lets it settle. */
inline std::unique_ptr<virtual_network> make_network(std::uint64_t seed, const network_shape& shape,
                                                     network_conditions conditions = {},
                                                     registry_options registry = {},
                                                     detector_options detector = {}) {
    auto network = std::make_unique<virtual_network>(seed, conditions);
    network->registry = registry;
    network->detector = detector;
    service_definition service;
    service.id = service_id{"finder"};
    service.maps = {{"map", {}}};
    for (std::size_t shard = 0; shard < shape.targets; ++shard) {
        service.maps[0].shards.emplace_back("s" + std::to_string(shard));
    }
    network->in_force.services[service.id] = service;
    for (std::size_t host = 0; host < shape.hosts; ++host) {
        network->add_host(data_center_name(host % shape.data_centers));
    }
    for (std::size_t host = 0; host < shape.hosts; ++host) {
        network->start_host(host);
    }
    if (shape.preregistered) {
        network->introduce_hosts();
    }
    network->run_for(3s);
    for (std::size_t target = 0; target < shape.targets; ++target) {
        network->add_target(data_center_name(target % shape.data_centers), "finder",
                            "s" + std::to_string(target), 0);
        if (shape.preregistered) {
            network->register_target_everywhere(target);
        }
    }
    network->run_for(8s);
    return network;
}

/** Makes a target announce that it is draining, then runs the network for a while. */
inline void drain_target(virtual_network& network, std::size_t target, duration wait) {
    constexpr std::uint64_t receiving_host = 17;
    network.set_target_state(target, target_state::draining);
    network.announce(target, receiving_host);
    network.run_for(wait);
}

} // namespace tamarack::testing
