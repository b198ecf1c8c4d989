#include "announcer.h"

#include "support/net/http_call.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace tamarack::stand_in {

using testing_support::plain_request;
using testing_support::plain_response;

namespace {

constexpr std::chrono::milliseconds answer_limit{500};
constexpr std::chrono::milliseconds retry_interval{100};
constexpr std::chrono::milliseconds min_interval{20};
constexpr unsigned accepted_status = 200;

std::optional<Json::Value> parse(const std::string& text) {
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

announcer::announcer(testing_support::event_loop& loop, const target_model& model, std::string address,
                     std::uint64_t incarnation)
    : m_loop(&loop), m_model(&model), m_address(std::move(address)), m_incarnation(incarnation) {}

void announcer::announce() {
    try_next(++m_sequence, hosts_to_try());
}

std::vector<std::string> announcer::hosts_to_try() const {
    std::vector<std::string> hosts = m_registrars;
    for (const std::string& host : m_model->options().entry_hosts) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void announcer::try_next(std::uint64_t sequence, std::vector<std::string> hosts) {
    if (sequence != m_sequence) {
        return;
    }
    if (hosts.empty()) {
        schedule(sequence, retry_interval);
        return;
    }
    plain_request request;
    request.method = "POST";
    request.path = "/v1/targets/announce";
    request.fields["content-type"] = "application/json";
    request.body = text(sequence);
    const std::string host = hosts.front();
    hosts.erase(hosts.begin());
    testing_support::call(*m_loop, host, request, answer_limit,
                          [this, sequence, hosts](const std::optional<plain_response>& response) {
                              on_answer(sequence, hosts, response);
                          });
}

void announcer::on_answer(std::uint64_t sequence, const std::vector<std::string>& remaining_hosts,
                          const std::optional<plain_response>& response) {
    if (!response || response->status != accepted_status) {
        try_next(sequence, remaining_hosts);
        return;
    }
    ++m_accepted;
    apply_receipt(response->body);
    schedule(sequence, m_interval);
}

void announcer::apply_receipt(const std::string& receipt) {
    const auto value = parse(receipt);
    if (!value) {
        return;
    }
    m_registrars.clear();
    for (const Json::Value& host : (*value)["announce_to"]) {
        m_registrars.push_back(host.asString());
    }
    const std::chrono::milliseconds within{(*value)["next_within_ms"].asInt64()};
    m_interval = std::max(within / 2, min_interval);
}

void announcer::schedule(std::uint64_t sequence, std::chrono::milliseconds delay) {
    m_loop->run_after(delay, [this, sequence] {
        if (sequence == m_sequence) {
            announce();
        }
    });
}

std::string announcer::text(std::uint64_t sequence) const {
    const target_options& options = m_model->options();
    Json::Value value{Json::objectValue};
    value["target"] = options.name;
    value["life"] = Json::UInt64{m_incarnation};
    value["sequence"] = Json::UInt64{sequence};
    value["address"] = m_address;
    value["data_center"] = options.data_center;
    value["service"] = options.service;
    value["shard"] = options.shard;
    value["replica"] = options.replica;
    value["versions"] = Json::Value{Json::arrayValue};
    for (const held_version& held : options.versions) {
        Json::Value version{Json::objectValue};
        version["version"] = held.version;
        version["map"] = held.map;
        value["versions"].append(version);
    }
    value["slots"] = options.slots;
    value["connections"] = options.connections;
    value["state"] = m_model->state();
    const auto [running, queued] = m_model->reported_load();
    value["load"]["running"] = static_cast<Json::UInt>(running);
    value["load"]["queued"] = static_cast<Json::UInt>(queued);
    return Json::writeString(Json::StreamWriterBuilder{}, value);
}

} // namespace tamarack::stand_in
