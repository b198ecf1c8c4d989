#include "allocation_counter.h"
#include <tamarack_query/tamarack_query.h>

#include <benchmark/benchmark.h>

namespace tamarack {
namespace {

serving_view_pointer make_view(std::size_t shards, std::size_t replicas) {
    auto view = std::make_shared<serving_view>();
    view->ticket = {1};
    service_view& service = view->services[service_id{"search"}];
    service.definition.id = service_id{"search"};
    shard_map map;
    map.name = "map";
    for (std::size_t shard = 0; shard < shards; ++shard) {
        map.shards.emplace_back("shard-" + std::to_string(shard));
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            replica_view added;
            added.target = target_id{"target-" + std::to_string(shard) + "-" + std::to_string(replica)};
            added.incarnation = {1};
            added.address = endpoint{"127.0.0.1:1"};
            added.shard = map.shards.back();
            added.versions = {{index_version{"v1"}, "map"}};
            added.slots = 4;
            added.connections = 8;
            added.distance = static_cast<std::uint32_t>(replica);
            service.replicas.push_back(std::move(added));
        }
    }
    service.definition.maps = {map};
    return view;
}

/** Drives one engine: connections open immediately and each exchange is answered. */
class driver {
public:
    explicit driver(std::size_t shards) {
        run(m_engine.on_lease(m_now, time_point::max()));
        run(m_engine.on_view(m_now, make_view(shards, 3)));
    }

    void run_query(bool known_content) {
        caller_request request;
        request.number = ++m_last;
        request.id = request_id{"r"};
        request.service = service_id{"search"};
        request.body = known_content ? "lot" : "lot " + std::to_string(m_last);
        request.deadline = m_now + 1s;
        run(m_engine.on_request(m_now, std::move(request)));
        while (!m_sent.empty()) {
            const send_exchange send = std::move(m_sent.back());
            m_sent.pop_back();
            m_now += 10us;
            reply_to(send);
        }
    }

    std::uint64_t answers() const { return m_answers; }

private:
    query_engine m_engine{host_id{"h1"}, {1}, {}, random_source{1}};
    time_point m_now{1s};
    std::vector<send_exchange> m_sent;
    request_number m_last = 0;
    std::uint64_t m_answers = 0;

    void reply_to(const send_exchange& send) {
        exchange_reply reply;
        reply.number = send.request.number;
        reply.status = exchange_status::completed;
        reply.shard = send.request.shard;
        reply.version = send.request.version;
        reply.body = "part";
        run(m_engine.on_reply(m_now, send.connection, std::move(reply)));
    }

    void run(const query_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* open = std::get_if<open_connection>(&action)) {
                run(m_engine.on_connected(m_now, open->connection));
            } else if (const auto* send = std::get_if<send_exchange>(&action)) {
                m_sent.push_back(*send);
            } else if (std::holds_alternative<answer_caller>(action)) {
                ++m_answers;
            }
        }
    }
};

/** Measures time and allocations of all decisions of one query, including the driver. */
void run_queries(benchmark::State& state) {
    driver driven{static_cast<std::size_t>(state.range(0))};
    const bool known_content = state.range(1) != 0;
    const std::uint64_t before = count_allocations();
    for (auto step : state) {
        driven.run_query(known_content);
    }
    const auto queries = static_cast<double>(state.iterations());
    state.counters["allocations"] = static_cast<double>(count_allocations() - before) / queries;
    state.counters["answers"] = static_cast<double>(driven.answers()) / queries;
    state.counters["exchanges/s"] =
        benchmark::Counter(queries * static_cast<double>(state.range(0)), benchmark::Counter::kIsRate);
}

BENCHMARK(run_queries)
    ->ArgNames({"shards", "known_content"})
    ->Args({65, 1})
    ->Args({65, 0})
    ->Args({10, 1})
    ->Args({1, 1});

} // namespace
} // namespace tamarack

BENCHMARK_MAIN();
