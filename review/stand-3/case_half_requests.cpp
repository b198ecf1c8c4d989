/**
 * @file
 * A crowd of clients that stop within the header of their request, and ordinary callers meanwhile.
 *
 * With the disruption 3,100 connections to each host send the beginning of a request, stop and stay open. The
 * configuration gives a client 3 s for its header. The case counts ordinary requests that begin between 4 s
 * and 9 s after the crowd is complete. Each is tried at two hosts, on a new connection each time.
 */
#include "deployment.h"
#include "replica.h"

#include <sys/resource.h>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr std::size_t crowd_at_each_host = 3'100;
constexpr rlim_t descriptors_needed = 12'000;
constexpr int deadline_ms = 2'000;
constexpr milliseconds start_limit{30'000};
constexpr milliseconds connect_limit{1'000};
/** header-timeout-ms of the configuration and a second more. */
constexpr milliseconds judged_from{4'000};
constexpr milliseconds judged_until{9'000};
constexpr milliseconds between_requests{100};
/** Ordinary callers count as served if this part of their requests is, in percent. */
constexpr std::size_t served_percent = 25;

bool allow_descriptors() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_max < descriptors_needed) {
        return false;
    }
    limit.rlim_cur = descriptors_needed;
    return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

std::vector<tcp_socket> gather_crowd(const deployment& hosts, case_record& record) {
    std::vector<tcp_socket> crowd;
    const std::string beginning = std::string{"GET /orders/all HTTP/1.1\r\nHost: "} + authority;
    for (std::size_t host = 0; host < hosts.hosts(); ++host) {
        for (std::size_t count = 0; count < crowd_at_each_host; ++count) {
            tcp_socket one = connect_to(hosts.at(host, listener::front), connect_limit);
            if (one.is_open() && one.send_all(beginning)) {
                crowd.push_back(std::move(one));
            }
        }
    }
    record.line(std::to_string(crowd.size()) + " clients have sent the beginning of a request and stop");
    return crowd;
}

/** Sends a request at one host and, if there is no answer, at the next. @return whether it was served */
bool is_served(const deployment& hosts, std::size_t number, case_record& record) {
    std::string seen;
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        const std::size_t host = (number + attempt) % hosts.hosts();
        const std::string id = "ordinary-" + std::to_string(number) + "-" + std::to_string(attempt);
        const auto answer =
            call(hosts.at(host, listener::front),
                 request_of("GET", authority, "/orders/" + id, id, deadline_ms), connect_limit);
        seen += " host " + std::to_string(host) + ": " + (answer ? answer->first_line : "no answer") + ";";
        if (answer && answer->status() == 200) {
            record.line("ordinary request " + std::to_string(number) + seen);
            return true;
        }
    }
    record.line("ordinary request " + std::to_string(number) + seen);
    return false;
}

int run(case_record& record) {
    if (!allow_descriptors()) {
        return record.end(verdict::not_run, "too few descriptors for the crowd");
    }
    deployment hosts{record, {}};
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
    std::vector<tcp_socket> crowd;
    if (trouble_wanted()) {
        crowd = gather_crowd(hosts, record);
        if (crowd.size() < hosts.hosts() * crowd_at_each_host / 2) {
            return record.end(verdict::not_run, "the crowd could not connect");
        }
    }
    const auto begin = steady_clock::now();
    std::this_thread::sleep_until(begin + judged_from);
    std::size_t sent = 0;
    std::size_t served = 0;
    while (steady_clock::now() < begin + judged_until) {
        served += is_served(hosts, sent++, record) ? 1 : 0;
        std::this_thread::sleep_for(between_requests);
    }
    const std::string counts = std::to_string(served) + " of " + std::to_string(sent) + " were served";
    return served * 100 < sent * served_percent
               ? record.end(verdict::broken, "ordinary callers are not served: " + counts)
               : record.end(verdict::held, "ordinary requests: " + counts);
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
