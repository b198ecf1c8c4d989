#include "deployments.h"

namespace tamarack {

namespace {

/** Sizes of a service, which differ between deployments. */
struct service_size {
    std::size_t shards;
    std::uint32_t replicas;
    std::uint32_t slots;
    std::uint32_t connections;
    duration connection_cost;
};

network_options bg_south() {
    return {{data_center_id{"plovdiv-a"}, data_center_id{"plovdiv-b"}, data_center_id{"stara-zagora"},
             data_center_id{"haskovo"}},
            100us,
            1ms};
}

network_options bzh() {
    return {{data_center_id{"bzh-a"}, data_center_id{"bzh-b"}, data_center_id{"bzh-c"}}, 100us, 500us};
}

world_options make_service(const std::string& name, const network_options& network, const service_size& size,
                           service_preference preference) {
    world_options options;
    options.name = name;
    options.network = network;
    options.replicas = size.replicas;
    options.slots = size.slots;
    options.connections = size.connections;
    options.connection_cost = size.connection_cost;
    options.service.id = service_id{name};
    options.service.preference = preference;
    shard_map map;
    map.name = "map";
    for (std::size_t shard = 0; shard < size.shards; ++shard) {
        map.shards.emplace_back(name + "-" + std::to_string(shard));
    }
    options.service.maps.push_back(std::move(map));
    return options;
}

} // namespace

std::vector<world_options> deployed_services() {
    constexpr auto coverage = service_preference::coverage;
    constexpr auto latency = service_preference::latency;
    return {
        make_service("recall-finder", bg_south(), {10, 3, 5, 40, 6ms}, coverage),
        make_service("shop-portal", bg_south(), {15, 3, 5, 40, 6ms}, coverage),
        make_service("rider-desk", bg_south(), {1, 20, 4, 130, 1ms}, coverage),
        make_service("maker-feed", bg_south(), {1, 10, 4, 130, 1ms}, coverage),
        make_service("comptoir", bzh(), {10, 3, 2, 25, 6ms}, latency),
        make_service("atelier", bzh(), {15, 3, 2, 25, 6ms}, latency),
        make_service("commandes", bzh(), {1, 5, 4, 45, 1ms}, latency),
        make_service("stocks", bzh(), {1, 3, 4, 45, 1ms}, latency),
    };
}

world_options deployed_service(const std::string& name) {
    for (const auto& service : deployed_services()) {
        if (service.name == name) {
            return service;
        }
    }
    fail_invariant("no deployed service has the requested name", source_place::current());
}

} // namespace tamarack
