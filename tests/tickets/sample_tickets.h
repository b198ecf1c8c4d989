#pragma once

#include <tamarack_tickets/tamarack_tickets.h>

namespace tamarack {

/** @return a valid ticket: one service with two shards, its limits and a rule */
inline ticket sample_ticket(std::uint64_t number, std::uint32_t slots = 5) {
    service_definition service;
    service.id = service_id{"finder"};
    service.maps = {{"m1", {shard_id{"s0"}, shard_id{"s1"}}}};
    ticket result;
    result.number = ticket_number{number};
    result.author = "operator";
    result.services = {service};
    result.limits = {{service.id, shard_id{}, slots, 40}};
    result.rules = {{"near", service.id, data_center_id{"a"}, {data_center_id{"a"}, data_center_id{"b"}}}};
    return result;
}

} // namespace tamarack
