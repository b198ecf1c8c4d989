#include "configuration_codec.h"
#include "control_codec.h"

#include <gtest/gtest.h>

#include <random>

namespace tamarack {
namespace {

const std::string document = R"({"version":7,"routes":[
 {"name":"r-ks8nbkx","host":"leno12.example","path-prefix":"/nono601/no91/","type":"safe","timeout-ms":400,
  "target-latency-ms":40,"priority":2,"fanout-services":["huvo11a","lohu93e"],"max-attempts":2,"result-limit":5,
  "min-shard-fraction":0.75},
 {"name":"r-xmibw6k","host":"hufi27.example","path-prefix":"/goka902/","type":"unsafe","timeout-ms":2500,
  "target-latency-ms":250,"priority":2,"service":"kafi81c","max-attempts":2},
 {"name":"r-split","host":"hufi27.example","path-prefix":"/","type":"safe","timeout-ms":2500,
  "traffic-split":[{"service":"kafi81c","weight":0.5},{"service":"huvo11a","weight":1.5}]}],
 "services":[{"name":"huvo11a","health-check-path":"/health","max-connections":26,"protocol":"h1","tls":false},
  {"name":"lohu93e","health-check-path":"/health","max-connections":26},
  {"name":"kafi81c","health-check-path":"/health","max-connections":45,"later":{"unknown":1}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

TEST(configuration_document, becomes_a_ticket_that_replaces_the_route_table) {
    const auto read = wire::read_configuration_document(document);
    ASSERT_TRUE(std::holds_alternative<ticket>(read));
    const ticket& value = std::get<ticket>(read);
    EXPECT_EQ(value.number.value, 7U);
    ASSERT_TRUE(value.routes);
    EXPECT_EQ(value.routes->source, document);
    ASSERT_EQ(value.routes->routes.size(), 3U);
    const route& shards = value.routes->routes[0];
    EXPECT_EQ(shards.destination, route_destination::shards);
    EXPECT_EQ(shards.services.size(), 2U);
    EXPECT_EQ(shards.timeout, duration{400ms});
    EXPECT_EQ(shards.objective, duration{40ms});
    EXPECT_EQ(shards.least_coverage, 0.75);
    EXPECT_EQ(shards.result_limit, 5U);
    EXPECT_EQ(value.routes->routes[1].repeats, repeatability::at_most_once);
    const route& split = value.routes->routes[2];
    EXPECT_EQ(split.destination, route_destination::split);
    EXPECT_EQ(split.services[1].weight, 3 * split.services[0].weight);
    EXPECT_EQ(value.routes->limits.idle_time, duration{15s});
    EXPECT_TRUE(check_ticket(value, {}).empty());
}

ticket_faults faults_of(const std::string& text) {
    const auto read = wire::read_configuration_document(text);
    if (const auto* faults = std::get_if<ticket_faults>(&read)) {
        return *faults;
    }
    return check_ticket(std::get<ticket>(read), {});
}

std::string with(const std::string& before, const std::string& after) {
    std::string changed = document;
    const auto place = changed.find(before);
    EXPECT_NE(place, std::string::npos) << before;
    return changed.replace(place, before.size(), after);
}

TEST(configuration_document, is_refused_for_each_fault_that_the_platform_names) {
    EXPECT_FALSE(faults_of(document.substr(0, document.size() / 2)).empty()) << "truncated";
    EXPECT_FALSE(faults_of(with(R"("service":"kafi81c","max)", R"("service":"nobody","max)")).empty())
        << "unknown service";
    EXPECT_FALSE(faults_of(with(R"("/goka902/")", R"("/")")).empty())
        << "two routes with the same host and prefix";
    EXPECT_FALSE(faults_of(with(R"("weight":0.5},{"service":"huvo11a","weight":1.5})",
                                R"("weight":0},{"service":"huvo11a","weight":0})"))
                     .empty())
        << "no weight";
    EXPECT_FALSE(faults_of(with(R"("timeout-ms":400)", R"("timeout-ms":0)")).empty()) << "no timeout";
    EXPECT_FALSE(faults_of(with(R"("timeout-ms":400,)", "")).empty()) << "timeout missing";
    EXPECT_FALSE(faults_of(with(R"("version":7)", R"("version":"7")")).empty()) << "version is a string";
    EXPECT_FALSE(faults_of("").empty());
    EXPECT_FALSE(faults_of("[]").empty());
}

TEST(configuration_document, is_refused_when_truncated_anywhere) {
    for (std::size_t length = 0; length < document.size(); length += 7) {
        EXPECT_FALSE(faults_of(document.substr(0, length)).empty()) << length;
    }
}

TEST(configuration_document, survives_damaged_bytes) {
    std::mt19937 random{11};
    for (int round = 0; round < 2'000; ++round) {
        std::string damaged = document;
        for (int change = 0; change < 3; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        wire::read_configuration_document(damaged);
    }
}

http_request post(std::string target, std::string body) {
    http_request message;
    message.method = http_method::post;
    message.method_name = "POST";
    message.target = std::move(target);
    message.body = std::move(body);
    return message;
}

const std::string heartbeat =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"bzh-a","version":"v1","max-concurrency":2,)"
    R"("state":"ready","warmup-left-ms":1500,"sequence":4,"born":1780000000123})";

TEST(control_call, decodes_a_heartbeat) {
    const control_call call =
        wire::read_control_call(post("/tamarackstand/Replicas.Heartbeat/i-7f3a91c2", heartbeat));
    ASSERT_TRUE(std::holds_alternative<announce_target>(call));
    const announcement& value = std::get<announce_target>(call).value;
    EXPECT_EQ(value.target.value(), "i-7f3a91c2");
    EXPECT_EQ(value.incarnation.value, 1780000000123U);
    EXPECT_EQ(value.sequence, 4U);
    EXPECT_EQ(value.slots, 2U);
    EXPECT_EQ(value.state, target_state::ready);
    EXPECT_EQ(value.remaining_warmup, duration{1500ms});
}

TEST(control_call, rejects_a_heartbeat_with_a_missing_or_invalid_field) {
    for (const char* member :
         {"service", "address", "zone", "max-concurrency", "state", "sequence", "born"}) {
        std::string changed = heartbeat;
        changed.replace(changed.find(member), 2, "x-");
        const control_call call =
            wire::read_control_call(post("/tamarackstand/Replicas.Heartbeat/i-1", changed));
        EXPECT_TRUE(std::holds_alternative<unreadable_call>(call)) << member;
    }
    std::string foreign = heartbeat;
    foreign.replace(foreign.find("ready"), 5, "happy");
    EXPECT_TRUE(std::holds_alternative<unreadable_call>(
        wire::read_control_call(post("/tamarackstand/Replicas.Heartbeat/i-1", foreign))));
    EXPECT_TRUE(std::holds_alternative<unreadable_call>(
        wire::read_control_call(post("/tamarackstand/Replicas.Heartbeat/i-1", "\x01\xff"))));
}

TEST(control_call, decodes_the_end_of_a_target_with_or_without_its_start) {
    const control_call with_start =
        wire::read_control_call(post("/tamarackstand/Replicas.Deregister/i-1", R"({"born":17})"));
    ASSERT_TRUE(std::holds_alternative<deregister_target>(with_start));
    EXPECT_EQ(std::get<deregister_target>(with_start).incarnation, incarnation_id{17});
    const control_call without = wire::read_control_call(post("/tamarackstand/Replicas.Deregister/i-1", ""));
    ASSERT_TRUE(std::holds_alternative<deregister_target>(without));
    EXPECT_FALSE(std::get<deregister_target>(without).incarnation);
}

TEST(control_call, decodes_evacuation_orders) {
    const control_call start = wire::read_control_call(post("/tamarackstand/Evacuations.Start/bzh-a", ""));
    ASSERT_TRUE(std::holds_alternative<order_evacuation>(start));
    EXPECT_EQ(std::get<order_evacuation>(start).data_center.value(), "bzh-a");
    EXPECT_TRUE(std::get<order_evacuation>(start).active);
    const control_call stop = wire::read_control_call(post("/tamarackstand/Evacuations.Stop/bzh-a", ""));
    ASSERT_TRUE(std::holds_alternative<order_evacuation>(stop));
    EXPECT_FALSE(std::get<order_evacuation>(stop).active);
    for (const std::string path : {"Evacuations.Start/", "Evacuations.Stop/a/b", "Evacuations.Pause/a"}) {
        EXPECT_TRUE(std::holds_alternative<unreadable_call>(
            wire::read_control_call(post("/tamarackstand/" + path, ""))))
            << path;
    }
}

TEST(control_call, rejects_any_other_path) {
    for (const char* path : {"/", "/tamarackstand/Config.Describe", "/tamarackstand/Replicas.Heartbeat/",
                             "/tamarackstand/Replicas.Heartbeat/a/b"}) {
        EXPECT_TRUE(std::holds_alternative<unreadable_call>(wire::read_control_call(post(path, heartbeat))))
            << path;
    }
}

TEST(control_outcome, redirects_to_the_leader_with_the_path_of_the_call) {
    control_outcome result;
    result.result = control_result::redirected;
    result.redirect_to = endpoint{"10.0.0.4:8080"};
    result.path = "/tamarackstand/Config.Replace";
    const http_response message = wire::write_control_outcome(result);
    EXPECT_EQ(message.status, 307U);
    EXPECT_EQ(find_field(message.fields, "Location"), "http://10.0.0.4:8080/tamarackstand/Config.Replace");
}

TEST(control_outcome, returns_the_document_as_it_was_sent) {
    control_outcome result;
    result.document = document;
    EXPECT_EQ(wire::write_control_outcome(result).body, document);
}

TEST(control_outcome, distinguishes_refusals_from_retryable_errors) {
    control_outcome result;
    result.result = control_result::invalid;
    EXPECT_EQ(wire::write_control_outcome(result).status, 400U);
    result.result = control_result::unavailable;
    EXPECT_EQ(wire::write_control_outcome(result).status, 503U);
}

TEST(directory_call, decodes_the_documented_example) {
    http_request message;
    message.target = "/tamarackstand/resolve?name=leno12.example&region=bzh&zone=bzh-a";
    const auto call = wire::read_directory_call(message);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->name, "leno12.example");
    EXPECT_EQ(call->near.value(), "bzh-a");
    const http_response answer = wire::write_directory_reply({{endpoint{"10.1.0.39:8226"}}, 2s});
    EXPECT_EQ(answer.body, R"({"addrs":["10.1.0.39:8226"],"ttl_s":2})");
    EXPECT_EQ(wire::write_directory_reply({}).status, 503U);
}

} // namespace
} // namespace tamarack
