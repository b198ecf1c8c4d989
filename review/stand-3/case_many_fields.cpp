/**
 * @file
 * Requests of legal size whose Connection field names thousands of fields, and ordinary callers meanwhile.
 *
 * With the disruption 300 clients at each host send such a request on a kept connection, wait for its answer
 * and send the next. Its header has some 16,000 bytes, of 16,384 that are allowed, and less than 2,000
 * fields. The case counts the ordinary requests that begin within 8 s and are answered with success before
 * their deadline of 2 s, each with a second attempt at another host.
 */
#include "deployment.h"
#include "replica.h"

#include <atomic>
#include <csignal>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr std::size_t clients_of_a_thread = 50;
constexpr std::size_t threads_at_each_host = 6;
constexpr std::size_t named_fields = 4'000;
constexpr std::size_t short_fields = 1'950;
constexpr std::size_t max_header_bytes = 16'384;
constexpr int deadline_ms = 2'000;
constexpr milliseconds start_limit{30'000};
constexpr milliseconds crowd_wait{20'000};
constexpr milliseconds judged_from{1'000};
constexpr milliseconds judged_until{9'000};
constexpr milliseconds between_requests{250};
/** Ordinary callers count as served if this part of their requests is, in percent. */
constexpr std::size_t served_percent = 25;

std::string crowd_request(const std::string& id) {
    std::string more = "Connection: keep-alive";
    for (std::size_t count = 0; count < named_fields; ++count) {
        more += ",b";
    }
    more += "\r\n";
    for (std::size_t count = 0; count < short_fields; ++count) {
        more += "a:\r\n";
    }
    return request_of("GET", authority, "/orders/" + id, id, deadline_ms, more);
}

/** Plays some clients of the crowd at one host until told to end. */
void play_crowd(const address& at, const std::string& name, const std::atomic<bool>& ending,
                std::atomic<std::size_t>& answered) {
    std::vector<tcp_socket> clients;
    for (std::size_t count = 0; count < clients_of_a_thread; ++count) {
        clients.push_back(connect_to(at, crowd_wait));
    }
    for (std::size_t round = 0; !ending; ++round) {
        for (std::size_t count = 0; count < clients.size(); ++count) {
            const std::string id = name + "-" + std::to_string(count) + "-" + std::to_string(round);
            if (!clients[count].send_all(crowd_request(id))) {
                clients[count] = connect_to(at, crowd_wait);
            }
        }
        for (const tcp_socket& client : clients) {
            std::string buffer;
            answered += !ending && read_message(client, buffer, crowd_wait) ? 1 : 0;
        }
    }
}

bool is_served(const deployment& hosts, std::size_t number, case_record& record) {
    std::string seen;
    const auto until = steady_clock::now() + milliseconds{deadline_ms};
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        const std::size_t host = (number + attempt) % hosts.hosts();
        const std::string id = "ordinary-" + std::to_string(number) + "-" + std::to_string(attempt);
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
        const milliseconds limit = attempt == 0 ? left / 2 : left;
        const auto answer =
            call(hosts.at(host, listener::front),
                 request_of("GET", authority, "/orders/" + id, id, static_cast<int>(limit.count())), limit);
        seen += " host " + std::to_string(host) + ": " + (answer ? answer->first_line : "no answer") + ";";
        if (answer && answer->status() == 200) {
            record.line("ordinary request " + std::to_string(number) + seen);
            return true;
        }
    }
    record.line("ordinary request " + std::to_string(number) + seen);
    return false;
}

int judge(const deployment& hosts, case_record& record) {
    const auto begin = steady_clock::now();
    std::this_thread::sleep_until(begin + judged_from);
    std::atomic<std::size_t> served{0};
    std::vector<std::thread> requests;
    while (steady_clock::now() < begin + judged_until) {
        requests.emplace_back([&hosts, &record, &served, number = requests.size()] {
            served += is_served(hosts, number, record) ? 1 : 0;
        });
        std::this_thread::sleep_for(between_requests);
    }
    for (std::thread& request : requests) {
        request.join();
    }
    const std::string counts =
        std::to_string(served) + " of " + std::to_string(requests.size()) + " were served";
    return served * 100 < requests.size() * served_percent
               ? record.end(verdict::broken, "ordinary callers are not served: " + counts)
               : record.end(verdict::held, "ordinary requests: " + counts);
}

int run(case_record& record) {
    if (crowd_request("crowd-0-0-0-0").size() > max_header_bytes) {
        return record.end(verdict::not_run, "the header is too long");
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
    for (const char* id : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        replicas.push_back(std::make_unique<replica>(id, "commandes", hosts.zone_of(replicas.size()), 4,
                                                     hosts.all(listener::control), replica_behaviour{}));
    }
    if (!hosts.wait_until_served(authority, "/orders/warm", start_limit)) {
        return record.end(verdict::not_run, "the hosts don't serve");
    }
    std::atomic<bool> ending{false};
    std::atomic<std::size_t> answered{0};
    std::vector<std::thread> crowd;
    for (std::size_t host = 0; trouble_wanted() && host < hosts.hosts(); ++host) {
        for (std::size_t thread = 0; thread < threads_at_each_host; ++thread) {
            const std::string name = "crowd-" + std::to_string(host) + "-" + std::to_string(thread);
            crowd.emplace_back([&hosts, &ending, &answered, host, name] {
                play_crowd(hosts.at(host, listener::front), name, ending, answered);
            });
        }
    }
    const int result = judge(hosts, record);
    record.line(std::to_string(answered) + " requests of the crowd were answered");
    ending = true;
    for (std::size_t host = 0; host < hosts.hosts(); ++host) {
        hosts.kill(host, SIGKILL);
    }
    for (std::thread& member : crowd) {
        member.join();
    }
    return result;
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
