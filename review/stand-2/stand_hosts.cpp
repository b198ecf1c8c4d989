#include "stand.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

/** The command of the deploy file, started in the root of the repository. */
constexpr const char* program = "target/apps/tamarackd/tamarackd";
constexpr const char* settings_template = "platform/host.ini.in";
/** The platform starts an ended process again after a short delay. */
constexpr milliseconds restart_delay{500};

std::vector<int> free_ports(std::size_t count) {
    std::vector<int> sockets;
    std::vector<int> ports;
    for (std::size_t index = 0; index < count; ++index) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
        ports.push_back(ntohs(address.sin_port));
        sockets.push_back(socket);
    }
    for (const int socket : sockets) {
        ::close(socket);
    }
    return ports;
}

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/** Renders a section of the template that depends on whether a name has a value. */
void render_section(std::string& text, const std::string& name, bool present) {
    for (const bool positive : {true, false}) {
        const std::string begin = std::string{"{{"} + (positive ? "#" : "^") + name + "}}";
        const std::string end = "{{/" + name + "}}";
        for (auto at = text.find(begin); at != std::string::npos; at = text.find(begin)) {
            const auto stop = text.find(end, at);
            const std::string inner = text.substr(at + begin.size(), stop - at - begin.size());
            text.replace(at, stop + end.size() - at, positive == present ? inner : std::string{});
        }
    }
}

} // namespace

deployment::deployment(deployment_options options, record& log)
    : m_options(std::move(options)), m_log(log), m_ports(free_ports(6)),
      m_processes(static_cast<std::size_t>(m_options.disk_hosts + m_options.plain_hosts)) {
    std::string folder = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    m_folder = folder;
    m_watcher = std::thread{[this] { watch(); }};
}

deployment::~deployment() {
    m_ending = true;
    m_watcher.join();
    for (process& listed : m_processes) {
        if (listed.id > 0) {
            ::kill(listed.id, SIGKILL);
            ::waitpid(listed.id, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string deployment::ip(int host) const {
    return "127.0.91." + std::to_string(host + 1);
}

std::string deployment::settings_of(int host, bool first) const {
    std::string text = read_file(settings_template);
    const bool has_disk = host < m_options.disk_hosts;
    const std::string data = m_folder + "/data-" + std::to_string(host);
    if (has_disk) {
        std::filesystem::create_directories(data);
    }
    render_section(text, "data-dir", has_disk);
    render_section(text, "limits.memory-mb", true);
    render_section(text, "bounds.strict-revocation", false);
    render_section(text, "bounds.quota-window-s", false);
    render_section(text, "bounds.evacuation-ms", false);
    std::string seeds;
    for (int seed = 0; seed < std::min(3, m_options.disk_hosts); ++seed) {
        seeds += (seed == 0 ? "" : ",") + control(seed);
    }
    const std::vector<std::pair<std::string, std::string>> values{
        {"ip", ip(host)},
        {"zone", zone(host)},
        {"data-dir", has_disk ? data : ""},
        {"listen-addresses.front", front(host)},
        {"listen-addresses.ready", ready(host)},
        {"listen-addresses.control", control(host)},
        {"listen-addresses.directory", directory(host)},
        {"internal-port-range.0", std::to_string(m_ports[4])},
        {"seeds", seeds},
        {"bootstrap", first ? "true" : "false"},
        {"limits.cpu-share", has_disk ? "0.45" : "0.25"},
        {"limits.cores", "1"},
        {"limits.memory-mb", std::to_string(m_options.memory_mb)},
        {"fault-tolerance.machines", "1"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.budget-min-retries", "62"},
        {"bounds.budget-window-s", m_options.budget_window_s},
    };
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "}}", value);
    }
    // The template names one port for all machines; a free one is used here.
    replace_all(text, "operators = " + ip(host) + ":9464",
                "operators = " + ip(host) + ":" + std::to_string(m_ports[5]));
    return text;
}

void deployment::launch(int host, bool first) {
    const std::string path = m_folder + "/host-" + std::to_string(host) + ".ini";
    const std::string output = m_folder + "/host-" + std::to_string(host) + ".log";
    std::ofstream{path} << settings_of(host, first);
    const int file = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    const int id = ::fork();
    if (id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execl(program, program, "--settings", path.c_str(), nullptr);
        ::_exit(127);
    }
    ::close(file);
    process& started = m_processes[static_cast<std::size_t>(host)];
    started.id = id;
    started.wanted = true;
    started.again_at.reset();
    m_log.line("start host " + std::to_string(host));
}

void deployment::start_all() {
    const std::lock_guard lock{m_mutex};
    for (int host = 0; host < hosts(); ++host) {
        launch(host, true);
    }
}

void deployment::start(int host) {
    const std::lock_guard lock{m_mutex};
    launch(host, false);
}

void deployment::watch() {
    while (!m_ending) {
        {
            const std::lock_guard lock{m_mutex};
            for (int host = 0; host < hosts(); ++host) {
                process& listed = m_processes[static_cast<std::size_t>(host)];
                int status = 0;
                if (listed.id > 0 && listed.wanted && ::waitpid(listed.id, &status, WNOHANG) == listed.id) {
                    listed.id = 0;
                    ++listed.own_ends;
                    listed.again_at = steady::now() + restart_delay;
                    m_log.line("host " + std::to_string(host) + " ENDED BY ITSELF, " +
                               (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                    : "exit code " + std::to_string(WEXITSTATUS(status))));
                }
                if (listed.again_at && steady::now() >= *listed.again_at) {
                    launch(host, false);
                }
            }
        }
        std::this_thread::sleep_for(20ms);
    }
}

void deployment::signal(int host, int number) {
    const std::lock_guard lock{m_mutex};
    const int id = m_processes[static_cast<std::size_t>(host)].id;
    if (id > 0) {
        ::kill(id, number);
    }
}

void deployment::kill(int host) {
    const std::lock_guard lock{m_mutex};
    process& listed = m_processes[static_cast<std::size_t>(host)];
    listed.wanted = false;
    listed.again_at.reset();
    if (listed.id > 0) {
        ::kill(listed.id, SIGKILL);
        ::waitpid(listed.id, nullptr, 0);
        listed.id = 0;
    }
    m_log.line("killed host " + std::to_string(host));
}

int deployment::terminate(int host, milliseconds grace) {
    int id = 0;
    {
        const std::lock_guard lock{m_mutex};
        process& listed = m_processes[static_cast<std::size_t>(host)];
        listed.wanted = false;
        id = std::exchange(listed.id, 0);
    }
    if (id <= 0) {
        return 0;
    }
    m_log.line("SIGTERM to host " + std::to_string(host));
    ::kill(id, SIGTERM);
    const auto until = steady::now() + grace;
    int status = 0;
    while (::waitpid(id, &status, WNOHANG) != id) {
        if (steady::now() >= until) {
            ::kill(id, SIGKILL);
            ::waitpid(id, &status, 0);
            break;
        }
        std::this_thread::sleep_for(5ms);
    }
    m_log.line("host " + std::to_string(host) + " has ended after SIGTERM");
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

int deployment::own_ends(int host) {
    const std::lock_guard lock{m_mutex};
    return m_processes[static_cast<std::size_t>(host)].own_ends;
}

bool deployment::runs(int host) {
    return process_of(host) > 0;
}

int deployment::process_of(int host) {
    const std::lock_guard lock{m_mutex};
    return m_processes[static_cast<std::size_t>(host)].id;
}

message deployment::control_call(int first, const message& request, milliseconds limit) {
    std::string address = control(first % hosts());
    message answer;
    for (int hop = 0; hop < 3; ++hop) {
        answer = call(address, request, limit);
        if (answer.status != 307) {
            return answer;
        }
        const std::string location = answer.field("Location");
        constexpr std::size_t scheme = std::string_view{"http://"}.size();
        address = location.substr(scheme, location.find('/', scheme) - scheme);
    }
    return answer;
}

int deployment::submit(const std::string& document, milliseconds limit) {
    message request;
    request.method = "POST";
    request.path = "/tamarackstand/Config.Replace";
    request.fields = {{"Content-Type", "application/json"}};
    request.body = document;
    const auto until = steady::now() + limit;
    int status = 0;
    for (int host = 0; steady::now() < until; ++host) {
        status = control_call(host, request).status;
        if (status != 0 && status < 500 && status != 307 && status != 408 && status != 429) {
            break;
        }
        std::this_thread::sleep_for(100ms);
    }
    m_log.line("configuration sent, answer " + std::to_string(status));
    return status;
}

message deployment::describe(int host) {
    message request;
    request.method = "GET";
    request.path = "/tamarackstand/Config.Describe";
    return control_call(host, request);
}

bool deployment::is_ready(int host) {
    message request;
    request.method = "GET";
    request.path = "/tamarackstand/readiness";
    return call(ready(host), request, 1s).status == 200;
}

bool deployment::wait_until_ready(milliseconds limit) {
    const auto until = steady::now() + limit;
    for (int host = 0; host < hosts();) {
        if (is_ready(host)) {
            ++host;
        } else if (steady::now() >= until) {
            return false;
        } else {
            std::this_thread::sleep_for(100ms);
        }
    }
    return true;
}

std::string deployment::output(int host) const {
    return read_file(m_folder + "/host-" + std::to_string(host) + ".log");
}

} // namespace stand
