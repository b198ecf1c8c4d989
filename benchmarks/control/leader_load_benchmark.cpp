#include <tamarack_control/tamarack_control.h>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace tamarack {
namespace {

constexpr duration batch_delay = 20ms;

/** A control host that leads without peers, with disk writes that succeed at once. */
class lone_leader {
public:
    lone_leader() : m_node(m_self, fresh_folder(), {}, random_source{1}, m_now) {
        carry_out(value_of(m_node.bootstrap(m_now, {m_self})));
        while (m_node.report(m_now).role != raft_role::leader) {
            advance(100ms);
        }
    }

    /** Advances the time and runs what has become due. */
    void advance(duration time) {
        m_now += time;
        carry_out(m_node.on_timer(m_now, wall()));
    }

    /** Delivers a message, given as text. */
    void receive(const std::string& text) {
        const auto message = decode_control_message(value_of(read_json(text)));
        carry_out(m_node.on_control_message(m_now, wall(), value_of(message)));
    }

    void submit(const ticket& candidate) { carry_out(m_node.submit_ticket(m_now, wall(), 1, candidate)); }

    /** @return the messages sent to hosts since the last call, as text */
    std::vector<std::string> take_sent() { return std::exchange(m_sent, {}); }

private:
    static recovered_log fresh_folder() {
        recovered_log found;
        found.fresh = true;
        return found;
    }

    wall_time wall() const { return std::chrono::duration_cast<wall_time>(m_now.time_since_epoch()); }

    void carry_out(const control_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* change = std::get_if<store_change>(&action)) {
                carry_out(m_node.on_persisted(m_now, change->change.number));
            } else if (const auto* message = std::get_if<send_control_message>(&action)) {
                m_sent.push_back(write_json(encode_control_message(message->message)));
            }
        }
    }

    member_id m_self{host_id{"control-plovdiv-a-1"}, incarnation_id{7}};
    time_point m_now{1h};
    control_node m_node;
    std::vector<std::string> m_sent;
};

ticket one_service() {
    ticket result;
    result.number = ticket_number{1};
    service_definition service;
    service.id = service_id{"recall-finder-1"};
    service.maps = {{"map-1", {shard_id{"shard-1"}}}};
    result.services = {service};
    return result;
}

std::string renewal_of(int host, std::uint64_t number) {
    renew_lease message;
    message.from = host_id{"entry-plovdiv-a-" + std::to_string(host)};
    message.incarnation = incarnation_id{0x1234567890abcdefULL};
    message.reply_to = endpoint{"10.20.30.40:7001"};
    message.data_center = data_center_id{"plovdiv-a"};
    message.renewal = {number, ticket_number{1}, 1'000};
    message.held_ticket = ticket_number{1};
    message.held_epoch = 1'000;
    return write_json(encode_control_message(message));
}

/** One round of renewals by all holders: decoded from text, granted after one read, encoded as text. */
void handle_renewals(benchmark::State& state) {
    const int holders = static_cast<int>(state.range(0));
    lone_leader leader;
    leader.submit(one_service());
    std::uint64_t number = 0;
    double grant_bytes = 0;
    for (auto step : state) {
        ++number;
        for (int host = 0; host < holders; ++host) {
            leader.receive(renewal_of(host, number));
        }
        leader.advance(batch_delay);
        const auto sent = leader.take_sent();
        if (sent.size() < static_cast<std::size_t>(holders)) {
            state.SkipWithError("a renewal was not granted");
            break;
        }
        grant_bytes = static_cast<double>(sent.back().size());
        leader.advance(1s - batch_delay);
        leader.take_sent();
    }
    state.SetItemsProcessed(state.iterations() * holders);
    state.counters["renewal_bytes"] = static_cast<double>(renewal_of(1, number).size());
    state.counters["grant_bytes"] = grant_bytes;
}
BENCHMARK(handle_renewals)->Arg(10)->Arg(100)->Arg(560)->Unit(benchmark::kMicrosecond);

/** The part of the above that is the holders' work: encoding a renewal. */
void make_renewals(benchmark::State& state) {
    std::uint64_t number = 0;
    for (auto step : state) {
        benchmark::DoNotOptimize(renewal_of(1, ++number));
    }
}
BENCHMARK(make_renewals)->Unit(benchmark::kMicrosecond);

/** One claim, from its message to the text of its decision, in the log of a leader without peers. */
void decide_claim(benchmark::State& state) {
    lone_leader leader;
    request_claim message;
    message.from = host_id{"entry-plovdiv-a-1"};
    message.reply_to = endpoint{"10.20.30.40:7001"};
    message.wanted = {
        service_id{"withdrawal-notices"},      {}, digest_of("body"), wall_time{3'600'000}, message.from,
        incarnation_id{0x1234567890abcdefULL}, 0};
    for (auto step : state) {
        ++message.operation;
        message.wanted.attempt = message.operation;
        message.wanted.key = idempotency_key{"notice-" + std::to_string(message.operation)};
        leader.receive(write_json(encode_control_message(message)));
        if (leader.take_sent().size() != 1) {
            state.SkipWithError("a claim was not decided");
            break;
        }
    }
}
BENCHMARK(decide_claim)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
