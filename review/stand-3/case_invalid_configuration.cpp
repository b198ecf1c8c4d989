/**
 * @file
 * An invalid configuration whose routes are all empty, and the memory of the hosts that receive it.
 *
 * The operator sends one invalid configuration of 600,000 bytes to a host with a disk. After a call without a
 * clear answer it sends the same to the next one, as the pages say, until it gets an answer or 60 s have
 * passed. The stand-in of the platform ends a process that uses more memory than its machine has, and starts
 * it again after 1 s. Without the disruption the configuration has one empty route.
 */
#include "deployment.h"
#include "replica.h"

#include <algorithm>
#include <atomic>
#include <csignal>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr std::size_t memory_mb = 260;
constexpr std::size_t bytes_in_mb = 1'000'000;
constexpr std::size_t many_routes = 200'000;
constexpr std::size_t ends_that_count = 3;
constexpr milliseconds start_limit{30'000};
constexpr milliseconds call_limit{6'000};
constexpr milliseconds sample_interval{1};
constexpr milliseconds restart_delay{1'000};
constexpr milliseconds operator_pause{1'000};
constexpr milliseconds operator_limit{60'000};

std::string invalid_configuration(std::size_t routes) {
    std::string document = R"({"version":7,"services":[],"routes":[{})";
    for (std::size_t count = 1; count < routes; ++count) {
        document += ",{}";
    }
    return document + "]}";
}

/** The result of one call of the operator. */
struct call_result {
    int status = 0; ///< 0: no clear answer
    bool ended = false;
};

/** Sends the configuration to a host, and ends its process if it takes too much memory. */
call_result send_to(deployment& hosts, std::size_t host, const std::string& document, case_record& record) {
    const std::string request = "POST /tamarackstand/Config.Replace HTTP/1.1\r\nHost: control\r\n"
                                "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                                std::to_string(document.size()) + "\r\n\r\n" + document;
    call_result result;
    std::atomic<bool> finished{false};
    std::thread sender{[&] {
        const auto answer = call(hosts.at(host, listener::control), request, call_limit);
        result.status = answer ? answer->status() : 0;
        finished = true;
    }};
    std::size_t most = 0;
    while (!finished) {
        const std::size_t used = hosts.resident_bytes(host);
        most = std::max(most, used);
        if (!result.ended && used > memory_mb * bytes_in_mb) {
            hosts.kill(host, SIGKILL);
            result.ended = true;
        }
        std::this_thread::sleep_for(sample_interval);
    }
    sender.join();
    record.line("host " + std::to_string(host) + " gets a configuration of " +
                std::to_string(document.size()) + " bytes, uses " + std::to_string(most / bytes_in_mb) +
                " MB of " + std::to_string(memory_mb) + " and answers " +
                (result.status == 0 ? std::string{"nothing"} : std::to_string(result.status)) +
                (result.ended ? "; the platform has ended it" : ""));
    return result;
}

int run(case_record& record) {
    deployment_options options;
    options.memory_mb = memory_mb;
    deployment hosts{record, options};
    if (!hosts.start_all()) {
        return record.end(verdict::not_run, "the program or free addresses are missing");
    }
    const std::string configuration =
        configuration_of(1, authority, {{"orders", "/orders/", "safe", 2'500, 250, {"commandes"}}}, 45);
    if (!hosts.configure(configuration, start_limit)) {
        return record.end(verdict::not_run, "no configuration was acknowledged");
    }
    std::vector<std::unique_ptr<replica>> replicas;
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        replicas.push_back(std::make_unique<replica>(id, "commandes", hosts.zone_of(replicas.size()), 4,
                                                     hosts.all(listener::control), replica_behaviour{}));
    }
    if (!hosts.wait_until_served(authority, "/orders/warm", start_limit)) {
        return record.end(verdict::not_run, "the hosts don't serve");
    }
    const std::string document = invalid_configuration(trouble_wanted() ? many_routes : 1);
    std::vector<std::size_t> ends(hosts.hosts(), 0);
    const auto until = steady_clock::now() + operator_limit;
    for (std::size_t host = 0; steady_clock::now() < until; host = (host + 1) % hosts.hosts()) {
        const call_result result = send_to(hosts, host, document, record);
        if (result.status / 100 == 4) {
            return record.end(verdict::held, "the configuration was refused");
        }
        if (result.ended) {
            ++ends[host];
            std::this_thread::sleep_for(restart_delay);
            hosts.runs(host);
            hosts.start(host);
        }
        const auto ended_thrice = std::count(ends.begin(), ends.end(), ends_that_count);
        if (2 * static_cast<std::size_t>(ended_thrice) >= hosts.hosts()) {
            return record.end(verdict::broken,
                              "Fault: " + std::to_string(ended_thrice) +
                                  " hosts of the core have ended three times over their memory, "
                                  "and the operator has no answer");
        }
        std::this_thread::sleep_for(operator_pause);
    }
    return record.end(verdict::held, "no half of the core has ended three times");
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
