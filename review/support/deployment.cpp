#include "deployment.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using namespace std::chrono_literals;

/** Paths below the repository, in which each case runs. */
constexpr auto daemon_path = "target/apps/tamarackd/tamarackd";
constexpr auto template_path = "platform/host.ini.in";
constexpr std::size_t ports_of_a_host = 6; ///< front, ready, control, directory, hosts, operators
constexpr std::size_t max_seeds = 3;
constexpr int status_redirect = 307;
constexpr int status_ok = 200;
constexpr auto retry_pause = 100ms;
constexpr auto heartbeat_interval = 1'200ms; ///< `heartbeat-interval-ms` of the pages' settings
/** Time until all hosts know all replicas. */
constexpr auto settling_time = 3s;
constexpr std::uint64_t birth = 1'780'000'000'000;

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/** Keeps or drops the text between two marks of the template. */
void resolve_section(std::string& text, const std::string& open, const std::string& close, bool keep) {
    const std::size_t begin = text.find(open);
    const std::size_t end = text.find(close, begin);
    if (begin == std::string::npos || end == std::string::npos) {
        return;
    }
    const std::string inner = text.substr(begin + open.size(), end - begin - open.size());
    text.replace(begin, end + close.size() - begin, keep ? inner : std::string{});
}

std::string end_of(int status) {
    return WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                               : "with exit code " + std::to_string(WEXITSTATUS(status));
}

std::string write_control_call(const socket_address& address, const std::string& method,
                               const std::string& path, const std::string& body) {
    std::string text = method;
    text += " " + path;
    text += " HTTP/1.1\r\nHost: " + address.text();
    text += "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: ";
    text += std::to_string(body.size());
    text += "\r\n\r\n";
    return text += body;
}

std::optional<response> read_response(http_stream& stream) {
    auto head = stream.read_head();
    if (!head) {
        return std::nullopt;
    }
    response result{std::move(*head), {}};
    const std::size_t size = result.head.content_length();
    result.body = stream.read_bytes(size);
    return result.body.size() == size ? std::optional{std::move(result)} : std::nullopt;
}

} // namespace

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

record::record(const std::string& path) : m_file(path) {}

void record::write(const std::string& line) {
    const std::lock_guard lock{m_mutex};
    const auto after = std::chrono::steady_clock::now() - m_begin;
    m_file << std::chrono::duration_cast<std::chrono::milliseconds>(after).count() << " ms  " << line
           << std::endl;
}

deployment::deployment(record& log, std::size_t disks, std::size_t bare)
    : m_log(log), m_disks(disks), m_bare(bare) {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("can't create a temporary folder");
    }
    m_folder = name;
    std::random_device random;
    std::uniform_int_distribution<int> number{1, 250};
    m_network = "127." + std::to_string(number(random)) + "." + std::to_string(number(random)) + ".";
    std::vector<socket_handle> reserved;
    for (std::size_t port = 0; port < ports_of_a_host; ++port) {
        reserved.push_back(listen_on({ip_of(0), 0}));
        m_ports.push_back(port_of(reserved.back()));
    }
}

deployment::~deployment() {
    for (std::size_t host = 0; host < hosts(); ++host) {
        kill_and_wait(host);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string deployment::ip_of(std::size_t host) const {
    return m_network + std::to_string(host + 1);
}

std::string deployment::data_folder(std::size_t host) const {
    return m_folder + "/data-" + std::to_string(host);
}

std::string deployment::settings_of(std::size_t host, bool bootstrap) const {
    std::string text = read_file(template_path);
    if (text.empty()) {
        throw std::runtime_error("the template of the settings is missing");
    }
    const bool has_disk = host < m_disks;
    std::string seeds;
    for (std::size_t seed = 0; seed < std::min(max_seeds, m_disks); ++seed) {
        seeds += (seeds.empty() ? "" : ",") + control(seed).text();
    }
    resolve_section(text, "{{#data-dir}}", "{{/data-dir}}", has_disk);
    resolve_section(text, "{{^data-dir}}", "{{/data-dir}}", !has_disk);
    for (const std::string name : {"bounds.evacuation-ms", "bounds.evacuation-ms", "bounds.strict-revocation",
                                   "bounds.quota-window-s", "limits.memory-mb"}) {
        resolve_section(text, "{{#" + name + "}}", "{{/" + name + "}}", false);
    }
    const auto at = [&](std::size_t port) { return ip_of(host) + ":" + std::to_string(m_ports[port]); };
    replace_all(text, "{{ip}}:9464", at(5));
    const std::map<std::string, std::string> values{
        {"ip", ip_of(host)},
        {"zone", "zone-" + std::to_string(host % 3)},
        {"data-dir", has_disk ? data_folder(host) : ""},
        {"limits.cpu-share", has_disk ? "0.45" : "0.25"},
        {"limits.cores", "1"},
        {"listen-addresses.front", at(0)},
        {"listen-addresses.ready", at(1)},
        {"listen-addresses.control", at(2)},
        {"listen-addresses.directory", at(3)},
        {"internal-port-range.0", std::to_string(m_ports[4])},
        {"seeds", seeds},
        {"bootstrap", bootstrap ? "true" : "false"},
        {"fault-tolerance.machines", "1"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.budget-min-retries", "58"},
        {"bounds.budget-window-s", "10"},
    };
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "}}", value);
    }
    return text;
}

void deployment::start(std::size_t host, bool bootstrap) {
    const std::string name = m_folder + "/host-" + std::to_string(host);
    const std::string settings = name + ".ini";
    const std::string output = name + ".log";
    std::ofstream{settings} << settings_of(host, bootstrap);
    if (host < m_disks) {
        std::filesystem::create_directories(data_folder(host));
    }
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("can't start a process");
    }
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (getppid() != parent || file < 0 || dup2(file, STDOUT_FILENO) < 0 ||
            dup2(file, STDERR_FILENO) < 0) {
            _exit(127);
        }
        execl(daemon_path, daemon_path, "--settings", settings.c_str(), nullptr);
        _exit(127);
    }
    m_processes[host] = child;
    m_log.write("started host " + std::to_string(host) + " at " + ip_of(host));
}

void deployment::start_all() {
    for (std::size_t host = 0; host < hosts(); ++host) {
        start(host, true);
    }
}

void deployment::signal(std::size_t host, int number) {
    const auto found = m_processes.find(host);
    if (found != m_processes.end()) {
        kill(found->second, number);
        m_log.write("sent signal " + std::to_string(number) + " to host " + std::to_string(host));
    }
}

void deployment::kill_and_wait(std::size_t host) {
    const auto found = m_processes.find(host);
    if (found == m_processes.end()) {
        return;
    }
    signal(host, SIGKILL);
    waitpid(found->second, nullptr, 0);
    m_processes.erase(host);
}

std::vector<std::string> deployment::unexpected_ends() {
    std::vector<std::string> ends;
    for (auto item = m_processes.begin(); item != m_processes.end();) {
        int status = 0;
        if (waitpid(item->second, &status, WNOHANG) != item->second) {
            ++item;
            continue;
        }
        ends.push_back("host " + std::to_string(item->first) + " ended " + end_of(status));
        m_log.write(ends.back() + "; its last output: " + last_output(item->first));
        item = m_processes.erase(item);
    }
    return ends;
}

void deployment::erase_disk(std::size_t host) {
    std::filesystem::remove_all(data_folder(host));
    m_log.write("erased the disk of host " + std::to_string(host));
}

std::size_t deployment::peak_memory_mib(std::size_t host) const {
    const auto found = m_processes.find(host);
    if (found == m_processes.end()) {
        return 0;
    }
    const std::string text = read_file("/proc/" + std::to_string(found->second) + "/status");
    const std::string name = "VmHWM:";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + name.size(), nullptr, 10) / 1'024;
}

std::string deployment::last_output(std::size_t host) const {
    constexpr std::size_t shown = 600;
    const std::string text = read_file(m_folder + "/host-" + std::to_string(host) + ".log");
    return text.size() > shown ? text.substr(text.size() - shown) : text;
}

std::optional<response> deployment::control_call(std::size_t host, const std::string& method,
                                                 const std::string& path, const std::string& body,
                                                 std::chrono::milliseconds timeout) {
    socket_address address = control(host);
    constexpr int max_hops = 3; // the first call and two redirects
    for (int hop = 0; hop < max_hops; ++hop) {
        http_stream stream{connect_to(address)};
        if (!stream.socket().is_open()) {
            return std::nullopt;
        }
        stream.set_timeout(timeout);
        if (!stream.write(write_control_call(address, method, path, body))) {
            return std::nullopt;
        }
        auto answer = read_response(stream);
        if (!answer || answer->head.status() != status_redirect) {
            return answer;
        }
        const std::string location = answer->head.field("Location");
        const std::size_t begin = location.find("//") + 2;
        const std::size_t colon = location.find(':', begin);
        address.ip = location.substr(begin, colon - begin);
        address.port = static_cast<unsigned short>(std::strtoul(location.c_str() + colon + 1, nullptr, 10));
    }
    return std::nullopt;
}

int deployment::submit(const std::string& document, std::chrono::seconds limit) {
    const auto ends = std::chrono::steady_clock::now() + limit;
    for (std::size_t host = 0; std::chrono::steady_clock::now() < ends; ++host) {
        const auto answer =
            control_call(host % m_disks, "POST", "/tamarackstand/Config.Replace", document, 1s);
        const int status = answer ? answer->head.status() : 0;
        if (status >= 200 && status < 500) {
            m_log.write("the configuration was answered " + std::to_string(status));
            return status;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    return 0;
}

bool deployment::await_ready(std::size_t host, std::chrono::seconds limit) const {
    const auto ends = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < ends) {
        std::unique_ptr<http_stream> connection;
        const auto answer = exchange(connection, readiness(host),
                                     "GET /tamarackstand/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 1s);
        if (answer && answer->head.status() == status_ok) {
            return true;
        }
        std::this_thread::sleep_for(retry_pause);
    }
    return false;
}

bool deployment::start_serving(const std::vector<replica*>& replicas, const std::string& document) {
    start_all();
    for (replica* item : replicas) {
        item->start_heartbeats();
    }
    if (submit(document) != status_ok) {
        return false;
    }
    for (std::size_t host = 0; host < hosts(); ++host) {
        if (!await_ready(host)) {
            return false;
        }
    }
    std::this_thread::sleep_for(settling_time);
    return true;
}

replica::replica(deployment& owner, std::string id, std::string service, connection_handler handler,
                 const listen_options& options)
    : m_owner(owner), m_id(std::move(id)), m_service(std::move(service)), m_handler(std::move(handler)),
      m_listener(listen_on({"127.0.0.1", 0}, options)), m_address{"127.0.0.1", port_of(m_listener)},
      m_accepting([this] { accept_connections(); }) {}

replica::~replica() {
    m_ending = true;
    m_listener.shut_down();
    m_accepting.join();
    if (m_beating.joinable()) {
        m_beating.join();
    }
    const std::lock_guard lock{m_mutex};
    for (const auto& open : m_open) {
        if (const auto stream = open.lock()) {
            stream->socket().shut_down();
        }
    }
    for (std::thread& serving : m_serving) {
        serving.join();
    }
}

void replica::start_heartbeats() {
    m_beating = std::thread{[this] { send_heartbeats(); }};
}

void replica::accept_connections() {
    while (!m_ending) {
        socket_handle accepted = accept_from(m_listener);
        if (!accepted.is_open()) {
            continue;
        }
        const auto stream = std::make_shared<http_stream>(std::move(accepted));
        const std::lock_guard lock{m_mutex};
        m_open.push_back(stream);
        m_serving.emplace_back([this, stream] {
            m_handler(*this, *stream);
            stream->socket().shut_down();
        });
    }
}

void replica::send_heartbeats() {
    std::size_t host = 0;
    for (std::uint64_t sequence = 1; !m_ending; ++sequence) {
        const std::string body =
            R"({"service":")" + m_service + R"(","address":")" + address() +
            R"(","zone":"zone-0","version":"v1","max-concurrency":2,"state":"ready","warmup-left-ms":0,)" +
            R"("sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(birth) + "}";
        const auto answer = m_owner.control_call(host % m_owner.hosts(), "POST",
                                                 "/tamarackstand/Replicas.Heartbeat/" + m_id, body);
        const bool accepted = answer && answer->head.status() == status_ok;
        host += accepted ? 0 : 1;
        const auto until = std::chrono::steady_clock::now() + (accepted ? heartbeat_interval : retry_pause);
        while (!m_ending && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(20ms);
        }
    }
}

void run_callers(int callers, const std::function<void(int)>& call) {
    std::vector<std::thread> running;
    running.reserve(static_cast<std::size_t>(callers));
    for (int caller = 0; caller < callers; ++caller) {
        running.emplace_back([&call, caller] { call(caller); });
    }
    for (std::thread& caller : running) {
        caller.join();
    }
}

int run_program(int count, char** arguments, int (*run_case)(record&)) {
    if (count != 2) {
        std::cerr << "usage: case FOLDER\n";
        return could_not_run;
    }
    try {
        record log{std::string{arguments[1]} + "/record.txt"};
        return run_case(log);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return could_not_run;
    }
}

std::string write_response(const std::string& status, const std::vector<std::string>& fields,
                           const std::string& body) {
    std::string text = "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const std::string& field : fields) {
        text += field + "\r\n";
    }
    return text + "\r\n" + body;
}

std::optional<response> exchange(std::unique_ptr<http_stream>& connection, const socket_address& address,
                                 const std::string& request, std::chrono::milliseconds timeout) {
    if (!connection) {
        connection = std::make_unique<http_stream>(connect_to(address));
    }
    std::optional<response> answer;
    if (connection->socket().is_open()) {
        connection->set_timeout(timeout);
        answer = connection->write(request) ? read_response(*connection) : std::nullopt;
    }
    if (!answer || answer->head.field("Connection") == "close") {
        connection.reset();
    }
    return answer;
}

std::string write_request(const std::string& method, const std::string& host, const std::string& path,
                          const std::string& id, int deadline_ms, const std::string& body) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Tamarackstand-Request-Id: " + id +
                       "\r\nX-Tamarackstand-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

} // namespace review
