#include "target_store.h"

#include <tamarack_telemetry/tamarack_telemetry.h>
#include <tamarack_tickets/tamarack_tickets.h>

#include <json/writer.h>

#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t ring_capacity = 4;
const std::string file_name = "targets.json";
/** Minimum time between two writes. If a crash loses the changes since the last write, this does no harm,
 * because targets announce themselves after a start anyway. */
constexpr duration write_interval = 3s;

std::string to_text(const std::vector<target_record>& records) {
    Json::Value json{Json::arrayValue};
    for (const target_record& record : records) {
        json.append(encode_target_record(record));
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, json);
}

outcome<std::vector<target_record>> from_text(const std::string& text) {
    const outcome<Json::Value> parsed = read_json(text);
    if (!succeeded(parsed) || !value_of(parsed).isArray()) {
        return error{error_code::malformed, "the file of stored targets is not a JSON array"};
    }
    std::vector<target_record> records;
    for (const Json::Value& item : value_of(parsed)) {
        auto record = decode_target_record(item);
        if (!succeeded(record)) {
            return error_of(record);
        }
        records.push_back(value_of(std::move(record)));
    }
    return records;
}

void report_not_restored(const error& reason) {
    log_state_change(log_level::warning, "targets_not_recalled", {}, {{"reason", reason.message}});
}

} // namespace

target_store::target_store(opened_folder folder)
    : m_folder(std::move(folder)), m_thread("targets", ring_capacity) {}

target_store::~target_store() {
    stop();
}

void target_store::start() {
    m_thread.start();
}

void target_store::stop() {
    m_thread.stop();
}

std::vector<target_record> target_store::read() const {
    const auto content = read_data_file(m_folder, file_name);
    if (!succeeded(content)) {
        report_not_restored(error_of(content));
        return {};
    }
    if (value_of(content).empty()) {
        return {};
    }
    auto records = from_text(value_of(content));
    if (!succeeded(records)) {
        report_not_restored(error_of(records));
        return {};
    }
    return value_of(std::move(records));
}

bool target_store::is_due(time_point now) const {
    return now >= m_saved_at + write_interval && !m_writing;
}

void target_store::save(time_point now, std::vector<target_record> records) {
    m_saved_at = now;
    m_writing = true;
    const bool posted = m_thread.try_post([this, records = std::move(records)] {
        write(records);
        m_writing = false;
    });
    m_writing = m_writing && posted;
}

void target_store::write(const std::vector<target_record>& records) {
    const auto written = replace_data_file(m_folder, file_name, to_text(records), system_file_hooks());
    if (!succeeded(written)) {
        log_state_change(log_level::warning, "targets_not_kept", {}, {{"reason", error_of(written).message}});
    }
}

} // namespace tamarack
