/**
 * @file
 * HEAD requests while all replicas of a service are down, and what follows on the caller's connection.
 *
 * A client sends a HEAD request and then a GET request on one kept connection. With the disruption all
 * replicas of the service have crashed just before. The answer to HEAD has no body, whatever its header says
 * (RFC 9112, section 6.3), so the next bytes must begin the answer to GET.
 */
#include "deployment.h"
#include "replica.h"

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr const char* path = "/stock/shelf-12";
constexpr int deadline_ms = 2'500;
constexpr milliseconds answer_limit{3'500};
constexpr milliseconds start_limit{30'000};
/** Within the longest time that all replicas of a service are down on the users' sites. */
constexpr milliseconds after_crash{1'000};

/** A sound replica of an empty shelf: its answers have no bytes. */
bool answer_empty(replica& self, const tcp_socket& to, const received_request& request) {
    return to.send_all(self.head_of(request, 200) + "Content-Length: 0\r\n\r\n");
}

/** Reads the start of what follows on the connection. */
std::string next_bytes(const tcp_socket& from, std::string& buffer) {
    while (buffer.size() < 12 && from.receive_some(buffer, answer_limit) == receipt::bytes) {
    }
    return buffer.substr(0, buffer.find("\r\n"));
}

int run(case_record& record) {
    deployment hosts{record, {}};
    if (!hosts.start_all()) {
        return record.end(verdict::not_run, "the program or free addresses are missing");
    }
    const std::string configuration =
        configuration_of(1, authority, {{"stock", "/stock/", "safe", deadline_ms, 250, {"stocks"}}}, 45);
    if (!hosts.configure(configuration, start_limit)) {
        return record.end(verdict::not_run, "no configuration was acknowledged");
    }
    std::vector<std::unique_ptr<replica>> replicas;
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        replicas.push_back(std::make_unique<replica>(id, "stocks", hosts.zone_of(replicas.size()), 4,
                                                     hosts.all(listener::control),
                                                     replica_behaviour{milliseconds{5}, answer_empty}));
    }
    if (!hosts.wait_until_served(authority, path, start_limit)) {
        return record.end(verdict::not_run, "the hosts don't serve");
    }
    if (trouble_wanted()) {
        replicas.clear();
        record.line("all replicas of the service have crashed");
        std::this_thread::sleep_for(after_crash);
    }
    const tcp_socket connection = connect_to(hosts.at(0, listener::front), answer_limit);
    std::string buffer;
    connection.send_all(request_of("HEAD", authority, path, "head-1", deadline_ms));
    record.line("the client sends HEAD with id head-1");
    const auto first = read_message(connection, buffer, answer_limit, body_rule::none);
    if (!first) {
        return record.end(verdict::not_run, "HEAD was not answered, and no rule says within which time");
    }
    record.line("the client gets: " + first->first_line + ", connection: " + first->field("connection"));
    if (first->field("connection") == "close") {
        return record.end(verdict::held, "the connection was to be closed");
    }
    connection.send_all(request_of("GET", authority, path, "get-2", deadline_ms));
    record.line("the client sends GET with id get-2 on the same connection");
    const std::string answer = next_bytes(connection, buffer);
    record.line("the client gets: " + answer);
    if (answer.empty()) {
        return record.end(verdict::held, "the connection was closed without an answer");
    }
    if (answer.rfind("HTTP/1.1 ", 0) != 0) {
        return record.end(verdict::broken, "MIXED: bytes that are no answer in the protocol: " + answer);
    }
    return record.end(verdict::held, "an answer followed");
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
