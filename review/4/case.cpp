// The memory of control hosts grows with each change of the configuration, until the platform would kill
// them.

#include "../support/deployment.h"

#include <csignal>
#include <set>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t hosts = 3;
/** Operators at work at the same time; the pages allow eight orders in progress. */
constexpr int operators = 4;
constexpr int changes_of_an_operator = 120;
/** Routes that the configuration has grown by: four times the 350 of `big_config`. */
constexpr int routes_more = 1'400;
constexpr auto work = 40ms;
constexpr int replicas_of_service = 8;
constexpr auto pause = 10ms;
constexpr int callers = 30;
/** Connections that may be closed without an answer, by the rule. */
constexpr int allowed_losses = 3;
/** `memory-mb` of the small deployments. */
constexpr std::size_t memory_limit_mib = 260;

std::string write_route(const std::string& name, const std::string& host, const std::string& prefix,
                        int timeout_ms) {
    std::string text = R"({"name":")" + name;
    text += R"(","host":")" + host;
    text += R"(","path-prefix":")" + prefix;
    text += R"(","type":"safe","timeout-ms":)" + std::to_string(timeout_ms);
    text += R"(,"target-latency-ms":250,"priority":1,"service":"order-desk","max-attempts":2})";
    return text;
}

/** @return a configuration whose first route's time-out differs with each version */
std::string write_configuration(int version) {
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
                       write_route("orders", "shop.example", "/orders/", 1'000 + version);
    const int more = has_trouble() ? routes_more : 0;
    for (int route = 0; route < more; ++route) {
        const std::string number = std::to_string(route);
        text += ',';
        text += write_route("r-" + number, "h" + number + ".example", "/p" + number + "/", 2'500);
    }
    text += R"(],"services":[{"name":"order-desk","health-check-path":"/health","max-connections":45,)"
            R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
            R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
    return text;
}

/** The ids of the requests that have reached a replica. */
class arrivals {
public:
    void add(const std::string& id) {
        const std::lock_guard lock{m_mutex};
        m_ids.insert(id);
    }

    bool contain(const std::string& id) {
        const std::lock_guard lock{m_mutex};
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/** Serves a connection of a sound replica. */
void serve(replica& self, http_stream& stream, arrivals& arrived) {
    while (const auto head = stream.read_head()) {
        const std::string id = head->field("X-Tamarackstand-Request-Id");
        arrived.add(id);
        std::this_thread::sleep_for(work);
        stream.write(write_response(
            "200 OK",
            {"X-Tamarackstand-Request-Id: " + id, "X-Tamarackstand-Response-Stamp: " + self.id() + "." + id},
            "order"));
    }
}

/** The platform, which kills a process that uses more memory than it may. Used by several threads. */
class platform {
public:
    platform(record& log, deployment& system) : m_log(log), m_system(system) {}

    /** Notes the memory of all hosts, and kills those over the limit. */
    void look(int changes) {
        const std::lock_guard lock{m_mutex};
        std::string text = std::to_string(changes) + " changes were acknowledged; memory in MiB:";
        for (std::size_t host = 0; host < hosts; ++host) {
            const std::size_t now = m_system.peak_memory_mib(host);
            text += " " + std::to_string(now);
            if (now > memory_limit_mib) {
                m_killed.insert(host);
                m_system.signal(host, SIGKILL);
            }
        }
        m_log.write(text);
    }

    /** @return whether the remaining hosts can't accept changes any more */
    bool has_killed_most() {
        const std::lock_guard lock{m_mutex};
        return m_killed.size() > hosts / 2;
    }

private:
    record& m_log;
    deployment& m_system;
    std::mutex m_mutex;
    std::set<std::size_t> m_killed;
};

/** Sends requests on a kept connection until the end, and counts those that got no answer on it. */
class caller {
public:
    caller(record& log, const deployment& system, arrivals& arrived, const std::atomic<bool>& ending)
        : m_log(log), m_system(system), m_arrived(arrived), m_ending(ending) {}

    void call(int number) {
        const socket_address address = m_system.callers(static_cast<std::size_t>(number) % hosts);
        std::unique_ptr<http_stream> connection;
        for (int request = 0; !m_ending; ++request) {
            const std::string id = "c" + std::to_string(number) + "-" + std::to_string(request);
            const bool kept = connection != nullptr;
            const auto answer = exchange(connection, address,
                                         write_request("GET", "shop.example", "/orders/1", id, 1'000, ""),
                                         std::chrono::seconds{2});
            ++m_requests;
            if (!answer && kept && m_arrived.contain(id)) {
                ++m_lost;
                m_log.write(id + " was passed on, and its kept connection ended without an answer");
            }
            if (!answer) {
                return;
            }
            m_served += answer->head.status() == 200 ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
    }

    int requests() const { return m_requests; }
    int served() const { return m_served; }
    int lost() const { return m_lost; }

private:
    record& m_log;
    const deployment& m_system;
    arrivals& m_arrived;
    const std::atomic<bool>& m_ending;
    std::atomic<int> m_requests{0};
    std::atomic<int> m_served{0};
    std::atomic<int> m_lost{0};
};

/** Changes the configuration over and over, until all is done or the platform has killed most hosts. */
int change_configuration(deployment& system, platform& watch) {
    std::atomic<int> version{1};
    std::atomic<int> acknowledged{1};
    run_callers(operators, [&](int /*number*/) {
        constexpr int looks_each = 10;
        for (int change = 0; change < changes_of_an_operator && !watch.has_killed_most(); ++change) {
            const bool accepted = system.submit(write_configuration(++version), 5s) == 200;
            const int count = accepted ? ++acknowledged : 1;
            if (count % looks_each == 0) {
                watch.look(count);
            }
        }
    });
    watch.look(acknowledged);
    return acknowledged;
}

int run_case(record& log) {
    deployment system{log, hosts, 0};
    arrivals arrived;
    const auto handler = [&arrived](replica& self, http_stream& stream) { serve(self, stream, arrived); };
    std::vector<std::unique_ptr<replica>> replicas;
    std::vector<replica*> started;
    for (int number = 0; number < replicas_of_service; ++number) {
        replicas.push_back(
            std::make_unique<replica>(system, "i-" + std::to_string(number), "order-desk", handler));
        started.push_back(replicas.back().get());
    }
    if (!system.start_serving(started, write_configuration(1))) {
        return could_not_run;
    }
    platform watch{log, system};
    watch.look(1);
    std::atomic<bool> ending{false};
    caller clients{log, system, arrived, ending};
    std::thread calling{[&] { run_callers(callers, [&](int number) { clients.call(number); }); }};
    const int acknowledged = change_configuration(system, watch);
    std::this_thread::sleep_for(500ms);
    ending = true;
    calling.join();
    log.write("changes acknowledged " + std::to_string(acknowledged) + ", requests " +
              std::to_string(clients.requests()) + ", served " + std::to_string(clients.served()) +
              ", lost " + std::to_string(clients.lost()));
    if (clients.lost() > allowed_losses) {
        return rule_broken;
    }
    return acknowledged > operators * changes_of_an_operator / 2 ? rule_held : could_not_run;
}

} // namespace

} // namespace review

int main(int count, char** arguments) {
    return review::run_program(count, arguments, review::run_case);
}
