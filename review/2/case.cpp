// A replica answers before it has read a long body, and reads on later: it gets other bytes there.

#include "../support/deployment.h"

#include <algorithm>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t hosts = 3;
constexpr int callers = 18;
constexpr int requests_of_a_caller = 1'500;
constexpr int deadline_ms = 400;
/** Each tenth request has a long body, below `max-body-bytes`. */
constexpr int long_each = 10;
constexpr std::size_t long_body = 250'000;
constexpr std::size_t short_body = 200;
/** Share of the answers that the faulty replica spoils: one in 50, the dose of `garble` (x = .02). */
constexpr unsigned spoils_each = 50;
constexpr auto work = 5ms;
constexpr auto reads_on_after = 1s;
/** A network with the segments of Ethernet and small windows. */
constexpr listen_options small_windows{1'460, 4'096};

const auto configuration = R"({"version":1,"routes":[{"name":"orders","host":"shop.example",)"
                           R"("path-prefix":"/orders/","type":"safe","timeout-ms":400,)"
                           R"("target-latency-ms":40,"priority":1,"service":"order-desk",)"
                           R"("max-attempts":2}],"services":[{"name":"order-desk",)"
                           R"("health-check-path":"/health","max-connections":45,"protocol":"h1",)"
                           R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
                           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/** @return the body of a request: its id, over and over */
std::string body_of(const std::string& id, std::size_t size) {
    std::string body;
    while (body.size() < size) {
        body += "<" + id + ">";
    }
    body.resize(size);
    return body;
}

/** What clients and replicas have seen. */
struct observations {
    std::mutex mutex;
    std::map<int, unsigned> answers; ///< by status
    unsigned early = 0;
    std::vector<std::string> wrong;
};

/** Serves a connection; the faulty replica rejects some long requests before it has read them. */
class desk {
public:
    desk(record& log, observations& seen, bool faulty) : m_log(log), m_seen(seen), m_faulty(faulty) {}

    void serve(replica& self, http_stream& stream) {
        while (const auto head = stream.read_head()) {
            const std::string id = head->field("X-Tamarackstand-Request-Id");
            if (id.empty() || head->first_line != "POST /orders/new HTTP/1.1") {
                report(self, "got what no client sent where a request is due: " + head->first_line);
                return;
            }
            const std::vector<std::string> fields{"X-Tamarackstand-Request-Id: " + id};
            const std::size_t size = head->content_length();
            const bool early = size == long_body && answers_early();
            if (early) {
                m_log.write(self.id() + " rejects " + id + " before it has read its body");
                stream.write(write_rejection(fields));
                std::this_thread::sleep_for(reads_on_after);
            }
            const std::string body = stream.read_bytes(size);
            if (body.size() < size) {
                m_log.write(self.id() + " read " + std::to_string(body.size()) + " bytes of " + id +
                            ", then the connection ended");
                return; // allowed
            }
            check(self, id, body);
            if (early) {
                continue;
            }
            std::this_thread::sleep_for(work);
            if (!stream.write(answer(self, *head, id, fields))) {
                return;
            }
        }
    }

private:
    static std::string write_rejection(std::vector<std::string> fields) {
        fields.emplace_back("X-Tamarackstand-Not-Executed: 1");
        return write_response("503 Service Unavailable", fields, "");
    }

    std::string answer(const replica& self, const message_head& head, const std::string& id,
                       std::vector<std::string> fields) {
        ++m_answers;
        if (head.field("X-Tamarackstand-Target-Replica") != self.id()) {
            fields.emplace_back("X-Tamarackstand-Not-Executed: 1");
            return write_response("421 Misdirected Request", fields, "");
        }
        fields.push_back("X-Tamarackstand-Response-Stamp: " + self.id() + "." + id);
        return write_response("200 OK", fields, "order " + id);
    }

    bool answers_early() {
        if (!m_faulty || !has_trouble()) {
            return false;
        }
        const std::lock_guard lock{m_seen.mutex};
        if ((m_seen.early + 1) * spoils_each > m_answers) {
            return false;
        }
        ++m_seen.early;
        return true;
    }

    void check(const replica& self, const std::string& id, const std::string& body) {
        const std::string sent = body_of(id, body.size());
        if (body == sent) {
            return;
        }
        const auto differs = std::mismatch(body.begin(), body.end(), sent.begin()).first;
        const auto at = static_cast<std::size_t>(differs - body.begin());
        constexpr std::size_t shown = 60;
        std::string text = body.substr(at, shown);
        std::replace_if(
            text.begin(), text.end(), [](char letter) { return letter < ' ' || letter > '~'; }, '.');
        report(self,
               "got other bytes in the body of " + id + " from byte " + std::to_string(at) + ": " + text);
    }

    void report(const replica& self, const std::string& what) {
        const std::lock_guard lock{m_seen.mutex};
        m_seen.wrong.push_back(self.id() + " " + what);
        m_log.write("UNASKED: " + m_seen.wrong.back());
    }

    record& m_log;
    observations& m_seen;
    bool m_faulty;
    std::atomic<unsigned> m_answers{0};
};

void call(const deployment& system, record& log, observations& seen, int caller) {
    std::unique_ptr<http_stream> connection;
    const socket_address address = system.callers(static_cast<std::size_t>(caller) % hosts);
    for (int number = 0; number < requests_of_a_caller; ++number) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const std::string body = body_of(id, number % long_each == 0 ? long_body : short_body);
        const auto answer = exchange(
            connection, address, write_request("POST", "shop.example", "/orders/new", id, deadline_ms, body),
            std::chrono::milliseconds{deadline_ms});
        const int status = answer ? answer->head.status() : 0;
        log.write(id + " was answered " + std::to_string(status));
        const std::lock_guard lock{seen.mutex};
        ++seen.answers[status];
    }
}

int judge(record& log, const observations& seen, const std::vector<std::string>& ends) {
    std::string answers;
    for (const auto& [status, count] : seen.answers) {
        answers += " " + std::to_string(status) + ":" + std::to_string(count);
    }
    log.write("answers by status" + answers + ", early answers " + std::to_string(seen.early) +
              ", wrong bytes " + std::to_string(seen.wrong.size()) + ", processes that ended by themselves " +
              std::to_string(ends.size()));
    if (!seen.answers.contains(200)) {
        return could_not_run;
    }
    return seen.wrong.empty() && ends.empty() ? rule_held : rule_broken;
}

int run_case(record& log) {
    observations seen;
    desk sound{log, seen, false};
    desk faulty{log, seen, true};
    deployment system{log, hosts, 0};
    const auto serve_with = [](desk& used) {
        return [&used](replica& self, http_stream& stream) { used.serve(self, stream); };
    };
    replica first{system, "i-1", "order-desk", serve_with(sound), small_windows};
    replica second{system, "i-2", "order-desk", serve_with(faulty), small_windows};
    if (!system.start_serving({&first, &second}, configuration)) {
        return could_not_run;
    }
    run_callers(callers, [&](int caller) { call(system, log, seen, caller); });
    std::this_thread::sleep_for(1s);
    const std::vector<std::string> ends = system.unexpected_ends();
    const std::lock_guard lock{seen.mutex};
    return judge(log, seen, ends);
}

} // namespace

} // namespace review

int main(int count, char** arguments) {
    return review::run_program(count, arguments, review::run_case);
}
