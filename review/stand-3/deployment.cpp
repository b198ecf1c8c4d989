#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* program = "target/apps/tamarackd/tamarackd";
constexpr const char* settings_template = "platform/host.ini.in";
constexpr std::uint16_t operators_port = 9464;
constexpr std::uint16_t ports_of_a_host = 5;
constexpr std::uint16_t hosts_port_offset = 4;
constexpr std::size_t max_seeds = 3;
constexpr milliseconds call_limit{1'000};
constexpr milliseconds retry_interval{200};

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/** Keeps or drops the sections of the template that depend on whether a value is present. */
void resolve_sections(std::string& text, const std::map<std::string, std::string>& values) {
    for (std::size_t begin = text.find("{{"); begin != std::string::npos;
         begin = text.find("{{", begin + 1)) {
        const char kind = text[begin + 2];
        if (kind != '#' && kind != '^') {
            continue;
        }
        const std::size_t name_end = text.find("}}", begin);
        const std::string name = text.substr(begin + 3, name_end - begin - 3);
        const std::string close = "{{/" + name + "}}";
        const std::size_t end = text.find(close, begin);
        const bool kept = (kind == '#') == values.contains(name);
        const std::string inner = kept ? text.substr(name_end + 2, end - name_end - 2) : std::string{};
        text.replace(begin, end + close.size() - begin, inner);
        begin = begin == 0 ? 0 : begin - 1;
    }
}

std::string list_of(const std::vector<address>& addresses) {
    std::string list;
    for (const address& item : addresses) {
        list += (list.empty() ? "" : ",") + item.text();
    }
    return list;
}

} // namespace

deployment::deployment(case_record& record, deployment_options options)
    : m_record(record), m_options(std::move(options)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data()) == nullptr ? std::string{} : pattern;
}

deployment::~deployment() {
    for (const auto& [host, process] : m_processes) {
        ::kill(process, SIGKILL);
    }
    for (const auto& [host, process] : m_processes) {
        ::waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool deployment::start_all() {
    if (m_folder.empty() || !std::filesystem::exists(program) ||
        !std::filesystem::exists(settings_template)) {
        return false;
    }
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> number{1, 250};
    std::uniform_int_distribution<int> port{20'000, 30'000};
    constexpr int attempts = 20;
    bool found = false;
    for (int attempt = 0; attempt < attempts && !found; ++attempt) {
        m_network = "127." + std::to_string(number(random)) + "." + std::to_string(number(random)) + ".";
        m_first_port = static_cast<std::uint16_t>(port(random));
        found = true;
        for (std::size_t host = 0; host < hosts() && found; ++host) {
            const std::string ip = at(host, listener::front).ip;
            found = is_free({ip, operators_port});
            for (std::uint16_t offset = 0; offset < ports_of_a_host && found; ++offset) {
                found = is_free({ip, static_cast<std::uint16_t>(m_first_port + offset)});
            }
        }
    }
    if (!found) {
        return false;
    }
    for (std::size_t host = 0; host < hosts(); ++host) {
        const bool is_spare =
            host < m_options.disk_hosts && host + m_options.spare_hosts >= m_options.disk_hosts;
        if (!is_spare) {
            start(host);
        }
    }
    m_first_start = false;
    return true;
}

address deployment::at(std::size_t host, listener which) const {
    return {m_network + std::to_string(host + 1),
            static_cast<std::uint16_t>(m_first_port + static_cast<std::uint16_t>(which))};
}

std::vector<address> deployment::all(listener which) const {
    std::vector<address> addresses;
    for (std::size_t host = 0; host < hosts(); ++host) {
        addresses.push_back(at(host, which));
    }
    return addresses;
}

std::string deployment::settings_of(std::size_t host) const {
    std::vector<address> seeds = all(listener::control);
    seeds.resize(std::min(max_seeds, m_options.disk_hosts));
    std::map<std::string, std::string> values{
        {"ip", at(host, listener::front).ip},
        {"zone", zone_of(host)},
        {"limits.cpu-share", host < m_options.disk_hosts ? "0.45" : "0.25"},
        {"limits.cores", "1"},
        {"limits.memory-mb", std::to_string(m_options.memory_mb)},
        {"listen-addresses.front", at(host, listener::front).text()},
        {"listen-addresses.ready", at(host, listener::ready).text()},
        {"listen-addresses.control", at(host, listener::control).text()},
        {"listen-addresses.directory", at(host, listener::directory).text()},
        {"internal-port-range.0", std::to_string(m_first_port + hosts_port_offset)},
        {"seeds", list_of(seeds)},
        {"bootstrap", m_first_start ? "true" : "false"},
        {"fault-tolerance.machines", "1"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.budget-min-retries", m_options.retries},
        {"bounds.budget-window-s", "10"},
    };
    if (host < m_options.disk_hosts) {
        const std::string data = m_folder + "/data-" + std::to_string(host);
        std::filesystem::create_directory(data);
        values["data-dir"] = data;
    }
    std::string text = read_file(settings_template);
    resolve_sections(text, values);
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "}}", value);
    }
    return text;
}

void deployment::start(std::size_t host) {
    const std::string name = m_folder + "/host-" + std::to_string(host);
    const std::string settings = name + ".ini";
    const std::string log = name + ".log";
    std::ofstream{settings} << settings_of(host);
    const rlimit descriptors{m_options.descriptors, m_options.descriptors};
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        const int output = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(program, program, "--settings", settings.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    m_processes[host] = process;
    m_record.line("host " + std::to_string(host) + " started at " + at(host, listener::front).text());
}

void deployment::kill(std::size_t host, int signal) {
    m_record.line("host " + std::to_string(host) + " gets signal " + std::to_string(signal));
    ::kill(m_processes.at(host), signal);
}

bool deployment::runs(std::size_t host) {
    const auto found = m_processes.find(host);
    if (found == m_processes.end()) {
        return false;
    }
    int status = 0;
    if (::waitpid(found->second, &status, WNOHANG) == 0) {
        return true;
    }
    m_record.line("host " + std::to_string(host) + " has ended with status " + std::to_string(status));
    m_processes.erase(found);
    return false;
}

bool deployment::configure(const std::string& document, milliseconds limit) {
    const auto until = steady_clock::now() + limit;
    const std::string request = "POST /tamarackstand/Config.Replace HTTP/1.1\r\nHost: control\r\n"
                                "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                                std::to_string(document.size()) + "\r\n\r\n" + document;
    std::size_t next = 0;
    while (steady_clock::now() < until) {
        const auto answer = call(at(next, listener::control), request, call_limit);
        if (answer && answer->status() == 200) {
            m_record.line("configuration acknowledged by host " + std::to_string(next));
            return true;
        }
        next = (next + 1) % m_options.disk_hosts;
        std::this_thread::sleep_for(retry_interval);
    }
    m_record.line("configuration not acknowledged");
    return false;
}

bool deployment::wait_until_served(const std::string& authority, const std::string& path,
                                   milliseconds limit) {
    const auto until = steady_clock::now() + limit;
    std::set<std::size_t> serving;
    for (int attempt = 0; steady_clock::now() < until && serving.size() < hosts(); ++attempt) {
        for (std::size_t host = 0; host < hosts(); ++host) {
            const std::string id = "warm-" + std::to_string(host) + "-" + std::to_string(attempt);
            const auto answer = call(at(host, listener::front), request_of("GET", authority, path, id, 2'000),
                                     milliseconds{2'000});
            if (answer && answer->status() == 200) {
                serving.insert(host);
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
    m_record.line(std::to_string(serving.size()) + " of " + std::to_string(hosts()) + " hosts serve " + path);
    return serving.size() == hosts();
}

std::size_t deployment::resident_bytes(std::size_t host) const {
    const auto found = m_processes.find(host);
    if (found == m_processes.end()) {
        return 0;
    }
    std::ifstream file{"/proc/" + std::to_string(found->second) + "/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string configuration_of(int version, const std::string& authority,
                             const std::vector<route_options>& routes, int connections) {
    std::ostringstream text;
    std::set<std::string> services;
    text << R"({"version":)" << version << R"(,"routes":[)";
    const char* separator = "";
    for (const route_options& route : routes) {
        text << separator << R"({"name":")" << route.name << R"(","host":")" << authority
             << R"(","path-prefix":")" << route.prefix << R"(","type":")" << route.type
             << R"(","timeout-ms":)" << route.timeout_ms << R"(,"target-latency-ms":)" << route.objective_ms
             << R"(,"priority":1,"max-attempts":2,)";
        if (route.services.size() == 1) {
            text << R"("service":")" << route.services.front() << '"';
        } else {
            text << R"("fanout-services":[)";
            const char* comma = "";
            for (const std::string& service : route.services) {
                text << comma << '"' << service << '"';
                comma = ",";
            }
            text << R"(],"result-limit":)" << route.result_limit << R"(,"min-shard-fraction":)"
                 << route.least;
        }
        text << "}";
        separator = ",";
        services.insert(route.services.begin(), route.services.end());
    }
    text << R"(],"services":[)";
    separator = "";
    for (const std::string& service : services) {
        text << separator << R"({"name":")" << service
             << R"(","health-check-path":"/health","max-connections":)" << connections
             << R"(,"protocol":"h1","tls":false})";
        separator = ",";
    }
    text << R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
         << R"("idle-timeout-ms":15000}})";
    return text.str();
}

std::string request_of(const std::string& method, const std::string& authority, const std::string& path,
                       const std::string& id, int deadline_ms, const std::string& more_fields) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + authority + "\r\nX-Tamarackstand-Request-Id: " + id +
           "\r\nX-Tamarackstand-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more_fields + "\r\n";
}

} // namespace review
