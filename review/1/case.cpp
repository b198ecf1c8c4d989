// A rejection that comes twice makes the system repeat a request that a replica is running.

#include "../support/deployment.h"

#include <algorithm>
#include <set>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t hosts = 3;
constexpr int callers = 6;
constexpr int requests_of_a_caller = 100;
constexpr int deadline_ms = 2'000;
/** A replica that is full rejects; these replicas are at each sixth request. */
constexpr unsigned rejects_each = 6;
/** Share of the answers that the faulty replica spoils: one in 50, the dose of `garble` (x = .02). */
constexpr unsigned spoils_each = 50;
constexpr auto work = 5ms;

const auto configuration = R"({"version":1,"routes":[{"name":"orders","host":"shop.example",)"
                           R"("path-prefix":"/orders/","type":"unsafe","timeout-ms":2000,)"
                           R"("target-latency-ms":250,"priority":1,"service":"order-desk",)"
                           R"("max-attempts":2}],"services":[{"name":"order-desk",)"
                           R"("health-check-path":"/health","max-connections":45,"protocol":"h1",)"
                           R"("tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
                           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/** What clients and replicas have seen. */
struct observations {
    std::mutex mutex;
    std::map<std::string, unsigned> runs;
    std::map<std::string, int> answers;
    unsigned spoiled = 0;
};

/** Serves a connection. The faulty replica sends some rejections once more, before its next response. */
class desk {
public:
    desk(record& log, observations& seen, bool faulty) : m_log(log), m_seen(seen), m_faulty(faulty) {}

    void serve(replica& self, http_stream& stream) {
        std::string late_copy;
        while (const auto head = stream.read_head()) {
            const std::string body = stream.read_bytes(head->content_length());
            const std::string id = head->field("X-Tamarackstand-Request-Id");
            const std::vector<std::string> fields{"X-Tamarackstand-Request-Id: " + id};
            if (!late_copy.empty()) {
                m_log.write(self.id() + " sends a rejection once more, before its answer to " + id);
                stream.write(std::exchange(late_copy, {}));
            }
            const std::string rejection = reject(self, *head, fields);
            if (!rejection.empty()) {
                late_copy = spoils() ? rejection : std::string{};
                stream.write(rejection);
                continue;
            }
            const std::string answer = run(self, id, fields);
            std::this_thread::sleep_for(work);
            if (!stream.write(answer)) {
                return;
            }
        }
    }

private:
    /** @return the rejection of a request; empty if it is run */
    std::string reject(const replica& self, const message_head& head, std::vector<std::string> fields) {
        fields.emplace_back("X-Tamarackstand-Not-Executed: 1");
        if (head.field("X-Tamarackstand-Target-Replica") != self.id()) {
            return write_response("421 Misdirected Request", fields, "");
        }
        if (++m_requests % rejects_each != 0) {
            return {};
        }
        m_log.write(self.id() + " is full and rejects " + head.field("X-Tamarackstand-Request-Id"));
        return write_response("503 Service Unavailable", fields, "");
    }

    /** Spoils a rejection as soon as one of 50 answers may be spoiled. */
    bool spoils() {
        if (!m_faulty || !has_trouble()) {
            return false;
        }
        const std::lock_guard lock{m_seen.mutex};
        if ((m_seen.spoiled + 1) * spoils_each > m_requests) {
            return false;
        }
        ++m_seen.spoiled;
        return true;
    }

    std::string run(const replica& self, const std::string& id, std::vector<std::string> fields) {
        fields.push_back("X-Tamarackstand-Response-Stamp: " + self.id() + "." + id);
        m_log.write(self.id() + " runs " + id);
        const std::lock_guard lock{m_seen.mutex};
        ++m_seen.runs[id];
        return write_response("200 OK", fields, "order " + id);
    }

    record& m_log;
    observations& m_seen;
    bool m_faulty;
    std::atomic<unsigned> m_requests{0};
};

void call(const deployment& system, record& log, observations& seen, int caller) {
    std::unique_ptr<http_stream> connection;
    const socket_address address = system.callers(static_cast<std::size_t>(caller) % hosts);
    for (int number = 0; number < requests_of_a_caller; ++number) {
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const std::string text =
            write_request("POST", "shop.example", "/orders/new", id, deadline_ms, "one ring");
        const auto answer = exchange(connection, address, text, std::chrono::milliseconds{deadline_ms});
        const int status = answer ? answer->head.status() : 0;
        log.write(id + " was answered " + std::to_string(status));
        const std::lock_guard lock{seen.mutex};
        seen.answers[id] = status;
    }
}

int judge(record& log, const observations& seen) {
    const std::set<int> promises{408, 421, 429, 503};
    int broken = 0;
    int served = 0;
    for (const auto& [id, status] : seen.answers) {
        const auto found = seen.runs.find(id);
        const unsigned runs = found == seen.runs.end() ? 0 : found->second;
        served += status == 200 ? 1 : 0;
        if (runs > 1) {
            ++broken;
            log.write("TWICE: " + id + " ran " + std::to_string(runs) + " times");
        }
        if (promises.contains(status) && runs > 0) {
            ++broken;
            log.write("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
        }
    }
    log.write("requests " + std::to_string(seen.answers.size()) + ", served " + std::to_string(served) +
              ", rejections sent twice " + std::to_string(seen.spoiled) + ", broken " +
              std::to_string(broken));
    if (served == 0) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

int run_case(record& log) {
    observations seen;
    desk sound{log, seen, false};
    desk faulty{log, seen, true};
    deployment system{log, hosts, 0};
    const auto serve_with = [](desk& used) {
        return [&used](replica& self, http_stream& stream) { used.serve(self, stream); };
    };
    replica first{system, "i-1", "order-desk", serve_with(sound)};
    replica second{system, "i-2", "order-desk", serve_with(faulty)};
    if (!system.start_serving({&first, &second}, configuration)) {
        return could_not_run;
    }
    run_callers(callers, [&](int caller) { call(system, log, seen, caller); });
    std::this_thread::sleep_for(500ms);
    return judge(log, seen);
}

} // namespace

} // namespace review

int main(int count, char** arguments) {
    return review::run_program(count, arguments, review::run_case);
}
