#include "ticket_checks.h"

namespace tamarack {

namespace {

void apply_removals(const ticket_removals& removals, configuration& target) {
    for (const auto& service : removals.services) {
        target.services.erase(service);
    }
    for (const auto& key : removals.limits) {
        target.limits.erase(key);
    }
    for (const auto& rule : removals.rules) {
        target.rules.erase(rule);
    }
    for (const auto& host : removals.hosts) {
        target.hosts.erase(host);
    }
}

} // namespace

configuration apply_ticket(const ticket& accepted, const configuration& current) {
    return apply_ticket(accepted, current, digest_of_ticket(accepted));
}

configuration apply_ticket(const ticket& accepted, const configuration& current, const digest& content) {
    configuration result = current;
    result.number = accepted.number;
    result.content = content;
    apply_removals(accepted.removals, result);
    for (const auto& service : accepted.services) {
        result.services.insert_or_assign(service.id, service);
    }
    for (const auto& limits : accepted.limits) {
        result.limits.insert_or_assign(limits_key{limits.service, limits.shard}, limits);
    }
    for (const auto& rule : accepted.rules) {
        result.rules.insert_or_assign(rule.name, rule);
    }
    if (accepted.routes) {
        result.routes = accepted.routes;
    }
    for (const auto& order : accepted.hosts) {
        result.hosts.insert_or_assign(order.host, order);
    }
    return result;
}

} // namespace tamarack
