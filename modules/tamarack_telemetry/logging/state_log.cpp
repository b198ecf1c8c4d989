#include "state_log.h"

#include "line_limiter.h"
#include "log_line.h"

#include <easylogging++.h>

#include <atomic>
#include <memory>
#include <semaphore>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace tamarack {

namespace {

/** Maximum number of lines queued for the writer; further ones are dropped and counted. */
constexpr std::size_t max_queued_lines = 4'096;
/** Time that the writer waits for more lines after the first one, so that it wakes less often than lines are
 * logged. */
constexpr std::chrono::milliseconds batching_delay{20};
constexpr duration suppressed_report_interval = 1s;

struct log_entry {
    log_level level = log_level::info;
    std::string event;
    std::string text;
};

host_id& logging_host() {
    static host_id host;
    return host;
}

el::Logger& state_logger() {
    static el::Logger& logger = *el::Loggers::getLogger("default");
    return logger;
}

void write(const log_entry& entry) {
    switch (entry.level) {
    case log_level::info:
        state_logger().info(entry.text);
        return;
    case log_level::warning:
        state_logger().warn(entry.text);
        return;
    case log_level::error:
        state_logger().error(entry.text);
        return;
    }
}

time_point log_now() {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/** Writes lines on its own thread, so that no other thread waits for standard output. */
class log_writer {
public:
    log_writer() : m_ring(max_queued_lines), m_thread([this] { run(); }) {}

    ~log_writer() {
        m_stopping.store(true);
        m_wake.release();
        m_thread.join();
    }

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    log_writer(log_writer&&) = delete;
    log_writer& operator=(log_writer&&) = delete;

    void post(log_entry entry) {
        if (!m_ring.try_push(std::move(entry))) {
            m_dropped.fetch_add(1);
            return;
        }
        if (!m_wake_pending.exchange(true)) {
            m_wake.release();
        }
    }

private:
    void run() {
        while (!m_stopping.load()) {
            m_wake.acquire();
            if (!m_stopping.load()) {
                std::this_thread::sleep_for(batching_delay);
            }
            m_wake_pending.store(false);
            write_queued();
        }
        write_queued();
    }

    void write_queued() {
        const time_point now = log_now();
        while (auto entry = m_ring.try_pop()) {
            if (m_limiter.allow(now, entry->event)) {
                write(*entry);
            }
        }
        if (now < m_last_report_at + suppressed_report_interval) {
            return;
        }
        m_last_report_at = now;
        for (const auto& [event, count] : m_limiter.take_suppressed()) {
            write_suppressed(event, count, "rate");
        }
        if (const std::uint64_t dropped = m_dropped.exchange(0); dropped > 0) {
            write_suppressed("any", dropped, "ring_full");
        }
    }

    static void write_suppressed(const std::string& event, std::uint64_t count, const char* cause) {
        write({log_level::warning,
               {},
               format_log_line(logging_host(), "lines_left_out", {},
                               {{"of", event}, {"count", std::to_string(count)}, {"cause", cause}})});
    }

    bounded_ring<log_entry> m_ring;
    line_limiter m_limiter;
    time_point m_last_report_at{};
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<bool> m_wake_pending{false};
    std::atomic<bool> m_stopping{false};
    std::counting_semaphore<> m_wake{0};
    std::thread m_thread; ///< declared last, since the thread uses the members above
};

std::unique_ptr<log_writer>& running_writer() {
    static std::unique_ptr<log_writer> writer;
    return writer;
}

} // namespace

void start_state_log(const host_id& host) {
    logging_host() = host;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void start_log_writer() {
    running_writer() = std::make_unique<log_writer>();
}

void stop_log_writer() {
    running_writer().reset();
}

void log_state_change(log_level level, std::string_view event, ticket_number ticket,
                      std::initializer_list<log_field> fields) {
    log_entry entry{level, std::string{event}, format_log_line(logging_host(), event, ticket, fields)};
    if (running_writer()) {
        running_writer()->post(std::move(entry));
    } else {
        write(entry);
    }
}

} // namespace tamarack
