/**
 * @file
 * A replica runs unsafe requests and fails some of them with its own 503, without the field that says "not
 * run".
 */
#include "../stand-2/stand.h"

#include <iostream>

namespace {

using namespace stand;

constexpr int replicas_of_service = 8; // one of them fails: below the largest share
constexpr int clients = 40;
/** Longest span and largest share of failed requests of `srv_grey` in the site file. */
constexpr milliseconds trouble_length{6'500};
constexpr double failed_requests = 0.4;

struct case_state {
    std::atomic<bool> trouble{false};
    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> succeeded{0};
    std::mutex mutex;
    std::map<std::string, int> promised;                    ///< status that says "not run", by attempt
    std::map<std::string, std::vector<std::string>> orders; ///< attempts by order
};

bool promises_not_run(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

void run_client(address_book& book, record& log, case_state& state) {
    while (!state.stop) {
        const auto next = steady::now() + milliseconds{250 + random_below(250)};
        const std::string order = "order-" + new_request_id();
        std::string failed;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::string address = book.pick(failed);
            const std::string id = new_request_id();
            const message answer =
                call(address, client_request(id, "POST", "/orders/new", order, 2'500), 2'500ms);
            ++state.sent;
            state.succeeded += answer.status == 200 ? 1 : 0;
            const std::lock_guard lock{state.mutex};
            state.orders[order].push_back(id);
            if (answer.status != 200) {
                std::string line = order;
                line.append(" attempt ")
                    .append(id)
                    .append(" answered ")
                    .append(std::to_string(answer.status));
                line.append(" stamp ").append(answer.field("X-Tamarackstand-Response-Stamp"));
                log.line(line);
            }
            if (!promises_not_run(answer.status)) {
                break; // clients repeat unsafe requests only after a promise
            }
            state.promised[id] = answer.status;
            failed = address;
        }
        sleep_until(next, state.stop);
    }
}

int play(const std::string& record_path) {
    record log{record_path};
    case_state state;
    run_list runs;
    deployment hosts{{}, log};
    hosts.start_all();
    std::vector<std::unique_ptr<replica>> replicas;
    for (int index = 0; index < replicas_of_service; ++index) {
        const bool grey = index == 0;
        replicas.push_back(std::make_unique<replica>(
            hosts, "i-" + std::to_string(index), "orders", "zone-" + std::to_string(index % 3),
            [&, grey](replica& self, const message& request, connection& peer) {
                runs.add({request.field("X-Tamarackstand-Request-Id"), self.id(), request.path,
                          request.method, request.body});
                std::this_thread::sleep_for(20ms);
                const bool fails = grey && state.trouble && chance(failed_requests);
                return peer.write(fails ? self.answer(request, "stock unavailable", "503 Service Unavailable")
                                        : self.answer(request, "ordered " + request.body));
            }));
    }
    const route_text route{"orders", "/orders/", "unsafe", 2'500, 250, 2, {"orders"}};
    if (hosts.submit(configuration_text(7, {route}, {"orders"}, 45), 15s) != 200 ||
        !hosts.wait_until_ready(15s)) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s); // stable
    address_book book{hosts};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] { run_client(book, log, state); });
    }
    std::this_thread::sleep_for(3s);
    state.trouble = with_trouble();
    log.line(std::string{"trouble "} + (state.trouble ? "begins" : "left out"));
    std::this_thread::sleep_for(trouble_length);
    state.trouble = false;
    std::this_thread::sleep_for(3s);
    state.stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    int broken = 0;
    for (const auto& [id, status] : state.promised) {
        if (runs.count(id) > 0) {
            ++broken;
            log.line("REFUSED: attempt " + id + " was answered " + std::to_string(status) + " and has run");
        }
    }
    int twice = 0;
    for (const auto& [order, attempts] : state.orders) {
        std::size_t times = 0;
        for (const std::string& id : attempts) {
            times += runs.count(id);
        }
        twice += times > 1 ? 1 : 0;
    }
    log.line("attempts " + std::to_string(state.sent) + ", succeeded " + std::to_string(state.succeeded) +
             ", answered \"not run\" " + std::to_string(state.promised.size()) + ", of these run " +
             std::to_string(broken) + "; orders that ran more than once " + std::to_string(twice));
    log.line(broken > 0 ? "BROKEN: REFUSED" : "held");
    if (state.succeeded < state.sent / 2) {
        return exit_not_run;
    }
    return broken > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int count, char** values) {
    try {
        return count > 1 ? play(values[1]) : exit_not_run;
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return exit_not_run;
    }
}
