#include "update_text.h"

#include "../targets/announcement_bounds.h"

#include <charconv>
#include <limits>

namespace tamarack {

namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t max_field_value = 1'000'000;

/** Appends one record, as a line of fields, to a text. */
class line_writer {
public:
    line_writer(std::string& text, char kind) : m_text(text) { m_text += kind; }
    ~line_writer() { m_text += '\n'; }
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    line_writer(line_writer&&) = delete;
    line_writer& operator=(line_writer&&) = delete;

    line_writer& name(std::string_view value) {
        m_text += '\t';
        for (const char letter : value) {
            switch (letter) {
            case '\t':
                m_text += "\\t";
                break;
            case '\n':
                m_text += "\\n";
                break;
            case '\\':
                m_text += "\\\\";
                break;
            default:
                m_text += letter;
            }
        }
        return *this;
    }

    line_writer& number(std::uint64_t value) {
        m_text += '\t';
        m_text += std::to_string(value);
        return *this;
    }

private:
    std::string& m_text;
};

/** Reads the fields of one line in order, and records whether all of them could be read. */
class line_reader {
public:
    explicit line_reader(std::string_view line) : m_remaining(line) {}

    std::string name() {
        const std::string_view field = next();
        std::string value;
        value.reserve(field.size());
        for (std::size_t index = 0; index < field.size(); ++index) {
            if (field[index] != '\\') {
                value += field[index];
                continue;
            }
            ++index;
            m_good = m_good && index < field.size();
            const char escaped = m_good ? field[index] : '\0';
            value += escaped == 't' ? '\t' : escaped == 'n' ? '\n' : escaped;
        }
        m_good = m_good && value.size() <= max_name_bytes;
        return value;
    }

    std::string required_name() {
        std::string value = name();
        m_good = m_good && !value.empty();
        return value;
    }

    std::uint64_t number(std::uint64_t low, std::uint64_t high) {
        const std::string_view field = next();
        std::uint64_t value = 0;
        const auto [stopped_at, problem] = std::from_chars(field.data(), field.data() + field.size(), value);
        const bool complete =
            !field.empty() && problem == std::errc{} && stopped_at == field.data() + field.size();
        m_good = m_good && complete && value >= low && value <= high;
        return m_good ? value : low;
    }

    std::uint32_t count() { return static_cast<std::uint32_t>(number(0, max_field_value)); }
    bool flag() { return number(0, 1) == 1; }

    template <typename Enum>
    Enum enum_value(Enum fallback) {
        const auto value = from_name<Enum>(next());
        m_good = m_good && value.has_value();
        return value.value_or(fallback);
    }

    bool good() const { return m_good && m_ended; }

private:
    std::string_view next() {
        m_good = m_good && !m_ended;
        const std::size_t tab = m_remaining.find('\t');
        const std::string_view field = m_remaining.substr(0, tab);
        m_ended = tab == std::string_view::npos;
        m_remaining.remove_prefix(m_ended ? m_remaining.size() : tab + 1);
        return field;
    }

    std::string_view m_remaining;
    bool m_good = true;
    bool m_ended = false;
};

void write(std::string& text, const host_record& record) {
    line_writer{text, 'h'}
        .name(record.host.value())
        .number(record.incarnation.value)
        .number(record.version)
        .name(to_name(record.state))
        .number(record.draining ? 1 : 0)
        .name(record.data_center.value())
        .name(record.hosts_address.value())
        .name(record.callers_address.value())
        .number(record.control ? 1 : 0)
        .number(record.capacity)
        .number(record.load);
}

host_record read_host(line_reader& line) {
    host_record record;
    record.host = host_id{line.required_name()};
    record.incarnation = incarnation_id{line.number(0, max_number)};
    record.version = line.number(0, max_number);
    record.state = line.enum_value<host_state>(host_state::alive);
    record.draining = line.flag();
    record.data_center = data_center_id{line.name()};
    record.hosts_address = endpoint{line.required_name()};
    record.callers_address = endpoint{line.name()};
    record.control = line.flag();
    record.capacity = line.count();
    record.load = line.count();
    return record;
}

void write(std::string& text, const target_record& record) {
    const announcement& latest = record.latest;
    line_writer line{text, 't'};
    line.name(latest.target.value())
        .number(latest.incarnation.value)
        .number(latest.sequence)
        .name(latest.address.value())
        .name(latest.data_center.value())
        .name(latest.service.value())
        .name(latest.shard.value())
        .number(latest.replica)
        .number(latest.slots)
        .number(latest.connections)
        .name(to_name(latest.state))
        .number(static_cast<std::uint64_t>(latest.remaining_warmup / 1ms))
        .name(record.registrar.value())
        .number(record.alive ? 1 : 0)
        .number(record.version)
        .number(record.incarnation_order)
        .number(latest.versions.size());
    for (const served_version& served : latest.versions) {
        line.name(served.version.value()).name(served.map);
    }
}

target_record read_target(line_reader& line) {
    target_record record;
    announcement& latest = record.latest;
    latest.target = target_id{line.required_name()};
    latest.incarnation = incarnation_id{line.number(1, max_number)};
    latest.sequence = line.number(0, announcement_bounds::sequence);
    latest.address = endpoint{line.required_name()};
    latest.data_center = data_center_id{line.required_name()};
    latest.service = service_id{line.required_name()};
    latest.shard = shard_id{line.name()};
    latest.replica = line.count();
    latest.slots = line.count();
    latest.connections = line.count();
    latest.state = line.enum_value<target_state>(target_state::starting);
    latest.remaining_warmup = std::chrono::milliseconds{line.number(0, announcement_bounds::warmup / 1ms)};
    record.registrar = host_id{line.name()};
    record.alive = line.flag();
    record.version = line.number(0, max_number);
    record.incarnation_order = line.number(1, max_number);
    const std::uint64_t versions = line.number(0, announcement_bounds::versions);
    for (std::uint64_t index = 0; index < versions; ++index) {
        std::string version = line.required_name();
        latest.versions.push_back({index_version{std::move(version)}, line.name()});
    }
    return record;
}

} // namespace

std::string write_updates(const membership_updates& updates) {
    std::string text;
    for (const host_record& record : updates.hosts) {
        write(text, record);
    }
    for (const target_record& record : updates.targets) {
        write(text, record);
    }
    return text;
}

outcome<membership_updates> read_updates(std::string_view text, std::size_t max_count) {
    membership_updates updates;
    std::size_t number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const std::string_view line_text = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        const bool known_kind = line_text.starts_with("h\t") || line_text.starts_with("t\t");
        line_reader line{known_kind ? line_text.substr(2) : std::string_view{}};
        if (known_kind && line_text.front() == 'h') {
            updates.hosts.push_back(read_host(line));
        } else if (known_kind) {
            updates.targets.push_back(read_target(line));
        }
        const bool fits = updates.hosts.size() <= max_count && updates.targets.size() <= max_count;
        if (!known_kind || !line.good() || !fits || end == std::string_view::npos) {
            return error{error_code::malformed,
                         "membership updates: line " + std::to_string(number) + " is malformed"};
        }
    }
    return updates;
}

} // namespace tamarack
