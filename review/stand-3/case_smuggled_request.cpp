/**
 * @file
 * A request with a body whose Transfer-Encoding isn't understood, and what the replicas run.
 *
 * A client sends one POST request on a new connection. Its body is a text that looks like a request. With the
 * disruption the header says "Transfer-Encoding: chunked, identity"; without it, it states the body's length.
 */
#include "deployment.h"
#include "replica.h"

#include <array>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr const char* outer_id = "9c41d07be2a35f68";
constexpr const char* inner_id = "0000000000000bad";
constexpr milliseconds answers_limit{3'000};
constexpr milliseconds start_limit{30'000};

int run(case_record& record) {
    deployment hosts{record, {}};
    if (!hosts.start_all()) {
        return record.end(verdict::not_run, "the program or free addresses are missing");
    }
    const std::string configuration =
        configuration_of(1, authority, {{"orders", "/orders/", "unsafe", 2'500, 250, {"commandes"}}}, 45);
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
    const std::string body = request_of("GET", authority, "/orders/never-sent", inner_id, 2'500);
    const std::string framing = trouble_wanted() ? std::string{"Transfer-Encoding: chunked, identity\r\n"}
                                                 : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string request =
        request_of("POST", authority, "/orders/note", outer_id, 2'500, framing) + body;
    record.line("the client sends one request:\n" + request);
    const tcp_socket connection = connect_to(hosts.at(0, listener::front), answers_limit);
    connection.send_all(request);
    std::string buffer;
    while (const auto answer = read_message(connection, buffer, answers_limit)) {
        record.line("the client gets: " + answer->first_line + ", id " +
                    answer->field("x-tamarackstand-request-id"));
    }
    bool ran_inner = false;
    bool changed_body = false;
    for (const auto& server : replicas) {
        for (const received_request& ran : server->runs()) {
            if (ran.id.rfind("warm-", 0) == 0) {
                continue;
            }
            record.line("replica " + server->id() + " runs " + ran.message.first_line + ", id " + ran.id +
                        ", body of " + std::to_string(ran.message.body.size()) + " bytes");
            ran_inner = ran_inner || ran.id == inner_id;
            changed_body = changed_body || (ran.id == outer_id && ran.message.body != body);
        }
    }
    if (ran_inner) {
        return record.end(verdict::broken, "UNASKED: a replica ran the text inside the request's body");
    }
    if (changed_body) {
        return record.end(verdict::broken, "UNASKED: a replica ran the request with another body");
    }
    return record.end(verdict::held, "no replica ran anything but what was sent");
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
