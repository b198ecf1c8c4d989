#include "control_codec.h"

#include <tamarack_membership/tamarack_membership.h>

#include <gtest/gtest.h>

#include <map>

namespace tamarack {
namespace {

constexpr time_point start{1h};

/** JSON values by field name. */
using heartbeat_fields = std::map<std::string, std::string>;

/** @return a heartbeat; `replaced` are values in place of the usual ones, and further fields */
std::string heartbeat(const heartbeat_fields& replaced) {
    heartbeat_fields fields = replaced;
    fields.insert({{"service", R"("huvo11a")"},
                   {"address", R"("10.128.0.9:8080")"},
                   {"zone", R"("bzh-a")"},
                   {"version", R"("v1")"},
                   {"max-concurrency", "2"},
                   {"state", R"("ready")"},
                   {"warmup-left-ms", "0"},
                   {"sequence", "4"},
                   {"born", "1780000000000"}});
    std::string text;
    for (const auto& [name, value] : fields) {
        text += text.empty() ? "{" : ",";
        text.append("\"").append(name).append("\":").append(value);
    }
    return text + "}";
}

http_request post_heartbeat(const std::string& target, const std::string& body) {
    http_request message;
    message.method = http_method::post;
    message.target = "/tamarackstand/Replicas.Heartbeat/" + target;
    message.body = body;
    return message;
}

registry_options platform_options() {
    registry_options options;
    options.only_known_services = false;
    options.incarnations_are_start_times = true;
    return options;
}

/** @return whether a registry accepts the heartbeat */
bool announce(target_registry& registry, const std::string& target, const std::string& body) {
    const control_call call = wire::read_control_call(post_heartbeat(target, body));
    const auto* announced = std::get_if<announce_target>(&call);
    return announced != nullptr && succeeded(registry.on_announcement(start, announced->value, {}));
}

std::vector<std::pair<std::string, heartbeat_fields>> odd_heartbeats() {
    const std::string long_name = '"' + std::string(300, 'x') + '"';
    const std::string huge = "18446744073709551615";
    return {
        {"number of slots", {{"max-concurrency", "4000000000"}}},
        {"no slots", {{"max-concurrency", "0"}}},
        {"warm-up", {{"warmup-left-ms", "4000000000"}}},
        {"sequence number", {{"sequence", huge}}},
        {"sequence number beyond 63 bits", {{"sequence", "9223372036854775808"}}},
        {"number beyond 64 bits", {{"sequence", "1e400"}}},
        {"start time", {{"born", huge}}},
        {"port", {{"address", R"("10.128.0.9:99999")"}}},
        {"port zero", {{"address", R"("10.128.0.9:0")"}}},
        {"address without a port", {{"address", R"("10.128.0.9")"}}},
        {"name in place of an address", {{"address", R"("replica.example:8080")"}}},
        {"long service", {{"service", long_name}}},
        {"long zone", {{"zone", long_name}}},
        {"deep nesting", {{"labels", std::string(100'000, '[') + std::string(100'000, ']')}}},
    };
}

/** Guards against an entry that one host accepts and no other host can decode: they lost the rest of the
 * message. */
TEST(odd_heartbeats, never_make_a_message_that_other_hosts_cannot_decode) {
    for (const auto& [what, odd] : odd_heartbeats()) {
        target_registry registry{host_id{"a"}, platform_options(), start};
        ASSERT_TRUE(announce(registry, "i-good", heartbeat({{"address", R"("10.128.0.8:8080")"}})));
        announce(registry, "i-odd", heartbeat(odd));
        const membership_updates updates{{}, registry.take_changes()};
        EXPECT_TRUE(succeeded(read_updates(write_updates(updates), updates.size()))) << what;
        for (const target_record& record : updates.targets) {
            EXPECT_TRUE(succeeded(decode_target_record(encode_target_record(record)))) << what;
        }
    }
}

TEST(odd_heartbeats, name_no_replica_to_use) {
    for (const auto& [what, odd] : odd_heartbeats()) {
        target_registry registry{host_id{"a"}, platform_options(), start};
        ASSERT_TRUE(announce(registry, "i-good", heartbeat({{"address", R"("10.128.0.8:8080")"}})));
        EXPECT_FALSE(announce(registry, "i-odd", heartbeat(odd))) << what;
        EXPECT_EQ(registry.usable(service_id{"huvo11a"}).size(), 1U) << what << ": the others hold";
    }
}

} // namespace
} // namespace tamarack
