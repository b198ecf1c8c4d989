/**
 * @file
 * Replicas in trouble answer with a body without end whose declared length is enormous.
 */
#include "../stand-2/stand.h"

#include <iostream>

namespace {

using namespace stand;

constexpr int shards = 5;
constexpr int replicas_of_shard = 3;
constexpr int clients = 40;
/** Longest span, largest share of replicas and largest share of answers of `garble` in the site file. */
constexpr milliseconds trouble_length{5'500};
constexpr double spoiled_answers = 0.02;
constexpr int spans = 5;
constexpr milliseconds calm_between{6'500};

/** The rule "Fault": this many ends on this many machines. */
constexpr int ends_on_machine = 3;
constexpr int machines_allowed = 1;

constexpr const char* endless_head = "\r\nContent-Length: 1000000000000000\r\n\r\n";

struct case_state {
    std::atomic<bool> trouble{false};
    std::atomic<bool> stop{false};
    std::atomic<int> spoiled{0};
    std::atomic<int> sent{0};
    std::atomic<int> succeeded{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> broken_off{0};
};

std::string records() {
    std::string text;
    for (int index = 0; index < 25; ++index) {
        text += new_request_id();
    }
    return text;
}

/** Sends bytes until the caller closes the connection. */
void send_without_end(replica& self, const message& request, connection& peer, case_state& state) {
    ++state.spoiled;
    const std::string id = request.field("X-Tamarackstand-Request-Id");
    const std::string part(4'096, 'x');
    std::string first = "HTTP/1.1 200 OK\r\nX-Tamarackstand-Request-Id: " + id +
                        "\r\nX-Tamarackstand-Response-Stamp: " + self.id() + "." + id + endless_head + part;
    while (!state.stop && peer.write(first)) {
        first = part;
        std::this_thread::sleep_for(1ms);
    }
}

void run_client(address_book& book, case_state& state) {
    while (!state.stop) {
        const auto next = steady::now() + milliseconds{400 + random_below(400)};
        std::string failed;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::string address = book.pick(failed);
            const message answer =
                call(address, client_request(new_request_id(), "GET", "/lots/7", "", 2'000), 2'000ms);
            ++state.sent;
            state.succeeded += answer.status == 200 ? 1 : 0;
            state.refused += answer.status == 503 ? 1 : 0;
            state.broken_off += answer.status == 0 ? 1 : 0;
            state.failed += answer.status >= 500 && answer.status != 503 ? 1 : 0;
            if (answer.status == 200) {
                break;
            }
            failed = address;
        }
        sleep_until(next, state.stop);
    }
}

int play(const std::string& record_path) {
    record log{record_path};
    case_state state;
    deployment_options options;
    options.disk_hosts = 3;
    options.plain_hosts = 3;
    deployment hosts{options, log};
    hosts.start_all();
    std::vector<std::unique_ptr<replica>> replicas;
    std::vector<std::string> services;
    for (int shard = 0; shard < shards; ++shard) {
        services.push_back("lots-" + std::to_string(shard));
        for (int index = 0; index < replicas_of_shard; ++index) {
            const bool in_trouble =
                index == shard % replicas_of_shard; // one of three: below the largest share
            replicas.push_back(std::make_unique<replica>(
                hosts, "i-" + std::to_string(shard) + "-" + std::to_string(index), services.back(),
                "zone-" + std::to_string(index),
                [&state, in_trouble](replica& self, const message& request, connection& peer) {
                    std::this_thread::sleep_for(9ms);
                    if (in_trouble && state.trouble && chance(spoiled_answers)) {
                        send_without_end(self, request, peer, state);
                        return false;
                    }
                    return peer.write(self.answer(request, records()));
                }));
        }
    }
    const route_text route{"sweep", "/lots/", "safe", 2'000, 200, 2, services};
    if (hosts.submit(configuration_text(7, {route}, services, 43), 15s) != 200 ||
        !hosts.wait_until_ready(15s)) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(5s); // stable
    address_book book{hosts};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] { run_client(book, state); });
    }
    std::this_thread::sleep_for(4s);
    log.line("calm: sent " + std::to_string(state.sent) + ", succeeded " + std::to_string(state.succeeded));
    for (int span = 0; span < spans; ++span) {
        state.trouble = with_trouble();
        log.line(std::string{"span begins, trouble "} + (state.trouble ? "on" : "off"));
        std::this_thread::sleep_for(trouble_length);
        state.trouble = false;
        log.line("span ends");
        std::this_thread::sleep_for(calm_between);
    }
    state.stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    log.line("answers spoiled " + std::to_string(state.spoiled));
    log.line("client attempts " + std::to_string(state.sent) + ": succeeded " +
             std::to_string(state.succeeded) + ", refused " + std::to_string(state.refused) + ", failed " +
             std::to_string(state.failed) + ", without an answer " + std::to_string(state.broken_off));
    int machines = 0;
    for (int host = 0; host < hosts.hosts(); ++host) {
        const int ends = hosts.own_ends(host);
        machines += ends >= ends_on_machine ? 1 : 0;
        const std::string output = hosts.output(host);
        const auto cause = output.rfind("terminate called");
        log.line("host " + std::to_string(host) + " ended by itself " + std::to_string(ends) + " times" +
                 (cause == std::string::npos ? std::string{} : ": " + output.substr(cause, 80)));
    }
    const bool served = state.succeeded > state.sent / 4 || with_trouble();
    const bool broken = machines > machines_allowed;
    log.line(broken ? "BROKEN: Fault" : "held");
    return broken ? exit_broken : served ? exit_held : exit_not_run;
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
