#include "operators_codec.h"

#include "../serving/caller_codec.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

Json::Value encode_faults(const ticket_faults& faults) {
    Json::Value list{Json::arrayValue};
    for (const ticket_fault& fault : faults) {
        Json::Value item;
        item["path"] = fault.path;
        item["problem"] = fault.problem;
        list.append(std::move(item));
    }
    return list;
}

unsigned status_of(ticket_verdict verdict) {
    switch (verdict) {
    case ticket_verdict::accepted:
    case ticket_verdict::resent:
    case ticket_verdict::superseded:
        return 200;
    case ticket_verdict::conflict:
    case ticket_verdict::stale:
        return 409;
    case ticket_verdict::refused:
        break;
    }
    return 422;
}

Json::Value encode_member(const member_id& member) {
    Json::Value json;
    json["host"] = member.host.value();
    json["life"] = std::to_string(member.incarnation.value);
    return json;
}

template <typename Range>
Json::Value encode_members(const Range& members) {
    Json::Value list{Json::arrayValue};
    for (const member_id& member : members) {
        list.append(encode_member(member));
    }
    return list;
}

Json::Int64 remaining_ms(time_point end, time_point now) {
    const duration remaining = std::max<duration>(end - now, 0us);
    return std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
}

Json::Value encode_host(const host_record& host) {
    Json::Value json;
    json["host"] = host.host.value();
    json["state"] = std::string{to_name(host.state)};
    json["draining"] = host.draining;
    json["data_center"] = host.data_center.value();
    json["hosts_address"] = host.hosts_address.value();
    json["callers_address"] = host.callers_address.value();
    return json;
}

Json::Value encode_target(const target_record& target) {
    Json::Value json;
    json["target"] = target.latest.target.value();
    json["service"] = target.latest.service.value();
    json["shard"] = target.latest.shard.value();
    json["replica"] = target.latest.replica;
    json["address"] = target.latest.address.value();
    json["state"] = std::string{to_name(target.latest.state)};
    json["alive"] = target.alive;
    json["keeper"] = target.registrar.value();
    return json;
}

Json::Value encode_assigned(const assignment& assigned) {
    Json::Value json{Json::objectValue};
    for (const auto& [service, hosts] : assigned.services) {
        Json::Value list{Json::arrayValue};
        for (const host_id& host : hosts) {
            list.append(host.value());
        }
        json[service.value()] = std::move(list);
    }
    return json;
}

Json::Value encode_lease(const lease_record& lease, time_point now) {
    Json::Value json;
    json["host"] = lease.host.value();
    json["ticket"] = Json::UInt64{lease.acknowledged.value};
    json["epoch"] = Json::UInt64{lease.acknowledged_epoch};
    json["remaining_ms"] = remaining_ms(lease.ends_at, now);
    return json;
}

Json::Value encode_report(const control_report& report, time_point now) {
    Json::Value json;
    json["role"] = std::string{to_name(report.role)};
    json["term"] = Json::UInt64{report.term};
    json["leader"] = report.leader.value();
    json["voters"] = encode_members(report.members.voters);
    json["learners"] = encode_members(report.members.learners);
    json["committed"] = Json::UInt64{report.committed};
    json["last"] = Json::UInt64{report.last.index};
    json["may_vote"] = report.may_vote;
    json["ticket"] = Json::UInt64{report.latest.value};
    json["epoch"] = Json::UInt64{report.epoch};
    json["settled_epoch"] = Json::UInt64{report.settled_epoch};
    Json::Value leases{Json::arrayValue};
    for (const lease_record& lease : report.holders) {
        leases.append(encode_lease(lease, now));
    }
    json["leases"] = std::move(leases);
    return json;
}

} // namespace

http_response to_response(const ticket_answer& answer) {
    Json::Value body;
    body["verdict"] = std::string{to_name(answer.verdict)};
    body["number"] = Json::UInt64{answer.number.value};
    body["latest"] = Json::UInt64{answer.latest.value};
    body["accepted_content"] = answer.accepted_content.hex();
    body["faults"] = encode_faults(answer.faults);
    return json_response(status_of(answer.verdict), body);
}

http_response to_response(const ticket_faults& faults) {
    Json::Value body;
    body["verdict"] = std::string{to_name(ticket_verdict::refused)};
    body["faults"] = encode_faults(faults);
    return json_response(status_of(ticket_verdict::refused), body);
}

Json::Value encode_overview(const settings& host_settings, const hosts_overview& hosts,
                            const control_overview* control, time_point now) {
    Json::Value json;
    json["host"] = host_settings.host.value();
    json["data_center"] = host_settings.data_center.value();
    json["role"] = std::string{to_name(host_settings.role)};
    json["ticket"] = Json::UInt64{hosts.ticket.value};
    json["digest"] = hosts.ticket_content.hex();
    json["lease_remaining_ms"] = remaining_ms(hosts.lease_ends_at, now);
    json["leader"] = hosts.leader.value();
    json["isolated"] = hosts.isolated;
    json["assignment_epoch"] = Json::UInt64{hosts.assigned.epoch};
    json["assignment_settled"] = hosts.assignment_settled;
    json["assignment"] = encode_assigned(hosts.assigned);
    json["hosts"] = Json::Value{Json::arrayValue};
    for (const host_record& host : hosts.hosts) {
        json["hosts"].append(encode_host(host));
    }
    json["targets"] = Json::Value{Json::arrayValue};
    for (const target_record& target : hosts.targets) {
        json["targets"].append(encode_target(target));
    }
    if (control != nullptr) {
        json["control"] = encode_report(control->report, now);
    }
    return json;
}

Json::Value encode_in_force(const control_overview& control) {
    Json::Value json;
    json["number"] = Json::UInt64{control.current->number.value};
    json["digest"] = control.current->content.hex();
    json["in_force"] = control.force && control.force->in_force;
    json["waiting_for"] = Json::Value{Json::arrayValue};
    if (control.force) {
        for (const host_id& host : control.force->waiting_for) {
            json["waiting_for"].append(host.value());
        }
    }
    return json;
}

Json::Value encode_history(const std::vector<accepted_ticket>& history) {
    Json::Value list{Json::arrayValue};
    for (const accepted_ticket& accepted : history) {
        Json::Value item;
        item["number"] = Json::UInt64{accepted.number.value};
        item["digest"] = accepted.content.hex();
        item["author"] = accepted.author;
        item["accepted_at_ms"] = Json::Int64{accepted.accepted_at.count()};
        list.append(std::move(item));
    }
    Json::Value json;
    json["tickets"] = std::move(list);
    return json;
}

} // namespace tamarack
