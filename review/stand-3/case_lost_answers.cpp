/**
 * @file
 * A crowd of clients whose bodies stop just short of their end, and the answers to ordinary callers
 * meanwhile.
 *
 * With the disruption 170 clients of one host send bodies of legal size but for the last bytes, and stay open
 * until the host ends them; then each comes again. Eight ordinary callers with kept connections ask the same
 * host, whose replicas answer with 17,000 bytes. The case counts requests that a replica ran and whose
 * connection, which had carried an answer before, ended without one.
 */
#include "deployment.h"
#include "replica.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <set>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr std::size_t attacked_host = 0;
constexpr std::size_t large_bodies = 130;
constexpr std::size_t small_bodies = 40;
constexpr std::size_t large_body_bytes = 262'144; ///< max-body-bytes
constexpr std::size_t small_body_bytes = 20'000;
constexpr std::size_t missing_bytes = 10;
constexpr std::size_t answer_bytes = 17'000; ///< the longest answers on the site have 18,000
constexpr std::size_t ordinary_callers = 8;
constexpr int deadline_ms = 2'500;
constexpr milliseconds start_limit{30'000};
constexpr milliseconds crowd_limit{5'000};
constexpr milliseconds crowd_pause{100};
constexpr std::size_t piece_bytes = 16'384;
constexpr milliseconds crowd_builds_up{1'500};
constexpr milliseconds judged_for{10'000};
constexpr milliseconds between_requests{30};
/** "more than three times" */
constexpr std::size_t allowed_losses = 3;

bool answer_long(replica& self, const tcp_socket& to, const received_request& request) {
    std::this_thread::sleep_for(milliseconds{5});
    return to.send_all(self.head_of(request, 200) + "Content-Length: " + std::to_string(answer_bytes) +
                       "\r\n\r\n" + std::string(answer_bytes, 'r'));
}

/** Sends a body in pieces. @return whether the connection took all of them */
bool send_body(const tcp_socket& connection, std::size_t bytes, std::atomic<std::size_t>& sent_bytes) {
    const std::string piece(piece_bytes, 'b');
    for (std::size_t left = bytes; left > 0;) {
        const std::size_t size = std::min(left, piece_bytes);
        if (!connection.send_all(std::string_view{piece}.substr(0, size), crowd_limit)) {
            return false;
        }
        sent_bytes += size;
        left -= size;
    }
    return true;
}

/** One client of the crowd. */
void send_unfinished_bodies(const address& at, const std::string& name, std::size_t body_bytes,
                            const std::atomic<bool>& ending, std::atomic<std::size_t>& sent_bytes) {
    for (std::size_t round = 0; !ending; ++round) {
        const std::string id = name + "-" + std::to_string(round);
        const std::string head = request_of("POST", authority, "/orders/" + id, id, deadline_ms,
                                            "Content-Length: " + std::to_string(body_bytes) + "\r\n");
        const tcp_socket connection = connect_to(at, crowd_limit);
        std::string received;
        if (connection.is_open() && connection.send_all(head, crowd_limit) &&
            send_body(connection, body_bytes - missing_bytes, sent_bytes)) {
            while (!ending && connection.receive_some(received, crowd_pause) != receipt::ended) {
            }
        }
        std::this_thread::sleep_for(crowd_pause);
    }
}

/** What ordinary callers have seen. */
struct counts {
    std::atomic<std::size_t> answered{0};
    std::mutex mutex;
    /** Ids of requests whose connection ended without an answer after it had carried an answer before. */
    std::set<std::string> unanswered;
    std::size_t unanswered_on_new = 0; ///< the same on connections that had carried no answer yet
};

void call_ordinarily(const address& at, const std::string& name, steady_clock::time_point until,
                     counts& seen) {
    tcp_socket connection;
    std::string buffer;
    bool is_kept = false;
    for (std::size_t number = 0; steady_clock::now() < until; ++number) {
        if (!connection.is_open()) {
            connection = connect_to(at, crowd_limit);
            buffer.clear();
            is_kept = false;
        }
        const std::string id = name + "-" + std::to_string(number);
        const bool sent = connection.send_all(
            request_of("POST", authority, "/orders/" + id, id, deadline_ms, "Content-Length: 0\r\n"));
        const auto answer = sent ? read_message(connection, buffer, milliseconds{deadline_ms}) : std::nullopt;
        if (answer) {
            ++seen.answered;
            is_kept = true;
        } else {
            const std::scoped_lock lock{seen.mutex};
            seen.unanswered_on_new += is_kept ? 0 : 1;
            if (is_kept) {
                seen.unanswered.insert(id);
            }
        }
        if (!answer || answer->field("connection") == "close") {
            connection.close();
        }
        std::this_thread::sleep_for(between_requests);
    }
}

int judge(const deployment& hosts, const std::vector<std::unique_ptr<replica>>& replicas,
          case_record& record) {
    counts seen;
    const address at = hosts.at(attacked_host, listener::front);
    const auto until = steady_clock::now() + judged_for;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < ordinary_callers; ++caller) {
        const std::string name = "ordinary-" + std::to_string(caller);
        callers.emplace_back([&seen, at, name, until] { call_ordinarily(at, name, until, seen); });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    std::size_t lost = 0;
    for (const auto& server : replicas) {
        for (const received_request& ran : server->runs()) {
            if (seen.unanswered.contains(ran.id)) {
                record.line("replica " + server->id() + " ran " + ran.id +
                            ", whose connection ended without an answer");
                ++lost;
            }
        }
    }
    const std::string text = std::to_string(lost) +
                             " requests on kept connections were run and got no answer, " +
                             std::to_string(seen.unanswered_on_new) + " on new connections got none, " +
                             std::to_string(seen.answered) + " were answered";
    return lost > allowed_losses ? record.end(verdict::broken, "LOST: " + text)
                                 : record.end(verdict::held, text);
}

int run(case_record& record) {
    deployment hosts{record, {}};
    if (!hosts.start_all()) {
        return record.end(verdict::not_run, "the program or free addresses are missing");
    }
    const std::string configuration = configuration_of(
        1, authority, {{"orders", "/orders/", "unsafe", deadline_ms, 250, {"commandes"}}}, 45);
    if (!hosts.configure(configuration, start_limit)) {
        return record.end(verdict::not_run, "no configuration was acknowledged");
    }
    std::vector<std::unique_ptr<replica>> replicas;
    for (const char* id : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        replicas.push_back(std::make_unique<replica>(id, "commandes", hosts.zone_of(replicas.size()), 4,
                                                     hosts.all(listener::control),
                                                     replica_behaviour{milliseconds{5}, answer_long}));
    }
    if (!hosts.wait_until_served(authority, "/orders/warm", start_limit)) {
        return record.end(verdict::not_run, "the hosts don't serve");
    }
    std::atomic<bool> ending{false};
    std::atomic<std::size_t> sent_bytes{0};
    std::vector<std::thread> crowd;
    for (std::size_t client = 0; trouble_wanted() && client < large_bodies + small_bodies; ++client) {
        const std::size_t bytes = client < large_bodies ? large_body_bytes : small_body_bytes;
        const std::string name = "crowd-" + std::to_string(client);
        crowd.emplace_back([&hosts, &ending, &sent_bytes, name, bytes] {
            send_unfinished_bodies(hosts.at(attacked_host, listener::front), name, bytes, ending, sent_bytes);
        });
    }
    std::this_thread::sleep_for(crowd_builds_up);
    const std::size_t before = sent_bytes;
    const int result = judge(hosts, replicas, record);
    record.line("the crowd sent " + std::to_string((sent_bytes - before) / judged_for.count() / 1'000) +
                " MB a second");
    ending = true;
    for (std::thread& client : crowd) {
        client.join();
    }
    return result;
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
