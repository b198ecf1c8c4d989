#include "stand.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr milliseconds heartbeat_interval{1'200};
constexpr const char* replicas_ip = "127.0.92.1";

std::mt19937_64& generator() {
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random;
}

std::string quoted_list(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "\"" : ",\"") + name + "\"";
    }
    return "[" + text + "]";
}

/** @return the strings of a JSON array of strings */
std::vector<std::string> strings_of(const std::string& text, const std::string& member) {
    std::vector<std::string> found;
    std::size_t at = text.find("\"" + member + "\":[");
    const std::size_t end = at == std::string::npos ? at : text.find(']', at);
    if (end == std::string::npos) {
        return found;
    }
    at = text.find('[', at);
    while (true) {
        const std::size_t begin = text.find('"', at + 1);
        if (begin == std::string::npos || begin > end) {
            return found;
        }
        const std::size_t stop = text.find('"', begin + 1);
        found.push_back(text.substr(begin + 1, stop - begin - 1));
        at = stop;
    }
}

} // namespace

void record::line(const std::string& text) {
    const std::lock_guard lock{m_mutex};
    const double seconds = std::chrono::duration<double>(steady::now() - m_start).count();
    m_file << std::fixed << std::setprecision(3) << seconds << " " << text << "\n" << std::flush;
}

void run_list::add(replica_run run) {
    const std::lock_guard lock{m_mutex};
    ++m_counts[run.request];
    m_runs.push_back(std::move(run));
}

std::vector<replica_run> run_list::all() {
    const std::lock_guard lock{m_mutex};
    return m_runs;
}

std::size_t run_list::count(const std::string& request) {
    const std::lock_guard lock{m_mutex};
    const auto found = m_counts.find(request);
    return found == m_counts.end() ? 0 : found->second;
}

replica::replica(deployment& hosts, std::string id, std::string service, std::string zone,
                 replica_handler handler, std::vector<int> nodes)
    : m_hosts(hosts), m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
      m_handler(std::move(handler)) {
    m_nodes = std::move(nodes);
    if (m_nodes.empty()) {
        for (int host = 0; host < hosts.hosts(); ++host) {
            m_nodes.push_back(host);
        }
        m_node = random_below(m_nodes.size());
    }
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, replicas_ip, &address.sin_addr);
    static_cast<void>(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = std::string{replicas_ip} + ":" + std::to_string(ntohs(address.sin_port));
    ::listen(m_listener, SOMAXCONN);
    m_acceptor = std::thread{[this] { accept_connections(); }};
    m_announcer = std::thread{[this] { announce(); }};
}

replica::~replica() {
    m_ending = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock{m_mutex};
        for (const auto& peer : m_peers) {
            peer->shut_down();
        }
    }
    for (std::thread& serving : m_serving) {
        serving.join();
    }
    m_announcer.join();
}

void replica::set_state(const std::string& state) {
    const std::lock_guard lock{m_mutex};
    m_state = state;
}

bool replica::deregister(const std::function<void(int)>& on_acknowledged) {
    const std::lock_guard lock{m_calls};
    m_leaving = true;
    message request;
    request.method = "POST";
    request.path = "/tamarackstand/Replicas.Deregister/" + m_id;
    request.fields = {{"Content-Type", "application/json"}};
    request.body = "{\"born\":" + std::to_string(m_born) + "}";
    const int host = registrar();
    const int status = call(m_hosts.control(host), request, 1s).status;
    const bool acknowledged = status >= 200 && status < 300;
    if (acknowledged) {
        on_acknowledged(host);
    }
    return acknowledged;
}

void replica::accept_connections() {
    while (!m_ending) {
        const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{m_mutex};
        auto peer = std::make_shared<connection>(accepted);
        m_peers.insert(peer);
        m_serving.emplace_back([this, peer] { serve(peer); });
    }
}

void replica::serve(const std::shared_ptr<connection>& peer) {
    while (!m_ending) {
        const auto request = peer->read_request(steady::now() + 60s);
        if (!request) {
            break;
        }
        const std::string target = request->field("X-Tamarackstand-Target-Replica");
        if (!target.empty() && target != m_id) {
            peer->write("HTTP/1.1 421 Misdirected\r\nX-Tamarackstand-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
            continue;
        }
        if (!m_handler(*this, *request, *peer)) {
            break;
        }
    }
    const std::lock_guard lock{m_mutex};
    if (!m_ending) {
        peer->shut_down();
    }
    m_peers.erase(peer);
}

std::string replica::answer(const message& request, const std::string& body, const std::string& status,
                            const std::string& more_fields) const {
    const std::string id = request.field("X-Tamarackstand-Request-Id");
    return "HTTP/1.1 " + status + "\r\nX-Tamarackstand-Request-Id: " + id +
           "\r\nX-Tamarackstand-Response-Stamp: " + m_id + "." + id +
           "\r\nX-Tamarackstand-Replica-Load: 1,0," + std::to_string(slots()) + "\r\n" +
           (m_leaving ? "Server-Leaving: 1\r\n" : "") + more_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void replica::announce() {
    std::uint64_t sequence = 0;
    while (!m_ending && !m_leaving) {
        message beat;
        beat.method = "POST";
        beat.path = "/tamarackstand/Replicas.Heartbeat/" + m_id;
        beat.fields = {{"Content-Type", "application/json"}};
        {
            const std::lock_guard lock{m_mutex};
            beat.body = R"({"service":")" + m_service + R"(","address":")" + m_address + R"(","zone":")" +
                        m_zone + R"(","version":"v1","max-concurrency":)" + std::to_string(slots()) +
                        R"(,"state":")" + m_state + R"(","warmup-left-ms":0,"sequence":)" +
                        std::to_string(++sequence) + R"(,"born":)" + std::to_string(m_born) + "}";
        }
        bool acknowledged = false;
        {
            const std::lock_guard lock{m_calls};
            const int status = m_leaving ? 0 : call(m_hosts.control(registrar()), beat, 1s).status;
            acknowledged = status >= 200 && status < 300;
        }
        if (!acknowledged) {
            m_node = (m_node + 1) % m_nodes.size();
        }
        sleep_until(steady::now() + (acknowledged ? heartbeat_interval : 100ms), m_ending);
    }
}

void sleep_until(steady::time_point until, const std::atomic<bool>& stop) {
    while (!stop && steady::now() < until) {
        std::this_thread::sleep_for(std::min<steady::duration>(20ms, until - steady::now()));
    }
}

std::string configuration_text(int version, const std::vector<route_text>& routes,
                               const std::vector<std::string>& services, int connections) {
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"routes":[)";
    for (const route_text& route : routes) {
        text << (&route == routes.data() ? "" : ",") << R"({"name":")" << route.name << R"(","host":")"
             << authority << R"(","path-prefix":")" << route.prefix << R"(","type":")" << route.type
             << R"(","timeout-ms":)" << route.timeout_ms << R"(,"target-latency-ms":)" << route.target_ms
             << R"(,"priority":1,"max-attempts":)" << route.attempts;
        if (route.services.size() == 1) {
            text << R"(,"service":")" << route.services.front() << R"("})";
        } else {
            text << R"(,"result-limit":20,"min-shard-fraction":0.75,"fanout-services":)"
                 << quoted_list(route.services) << "}";
        }
    }
    text << R"(],"services":[)";
    for (const std::string& service : services) {
        text << (&service == services.data() ? "" : ",") << R"({"name":")" << service
             << R"(","health-check-path":"/health","max-connections":)" << connections
             << R"(,"protocol":"h1","tls":false})";
    }
    text << R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
         << R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
    return text.str();
}

std::string new_request_id() {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << generator()();
    return text.str();
}

message client_request(const std::string& id, const std::string& method, const std::string& path,
                       const std::string& body, int deadline_ms) {
    message request;
    request.method = method;
    request.path = path;
    request.fields = {{"Host", authority},
                      {"X-Tamarackstand-Request-Id", id},
                      {"X-Tamarackstand-Deadline-Ms", std::to_string(deadline_ms)}};
    request.body = body;
    return request;
}

std::string address_book::pick(const std::string& failed) {
    const std::lock_guard lock{m_mutex};
    const int hosts = m_hosts.hosts();
    const int first = static_cast<int>(random_below(static_cast<std::size_t>(hosts)));
    for (int tried = 0; tried < 3 && steady::now() >= m_until; ++tried) {
        message request;
        request.method = "GET";
        request.path = std::string{"/tamarackstand/resolve?name="} + authority + "&region=r&zone=zone-0";
        const message answer = call(m_hosts.directory((first + tried) % hosts), request, 1s);
        const std::vector<std::string> addresses = strings_of(answer.body, "addrs");
        if (answer.status == 200 && !addresses.empty()) {
            m_addresses = addresses;
            m_until = steady::now() + 1s;
        }
    }
    std::vector<std::string> choice = m_addresses;
    if (choice.size() > 1) {
        std::erase(choice, failed);
    }
    return choice.empty() ? m_hosts.front(first) : choice[random_below(choice.size())];
}

std::size_t random_below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(generator());
}

bool chance(double share) {
    return std::uniform_real_distribution<double>{0.0, 1.0}(generator()) < share;
}

bool with_trouble() {
    const char* const wanted = std::getenv("TROUBLE");
    return wanted == nullptr || std::string{wanted} != "0";
}

} // namespace stand
