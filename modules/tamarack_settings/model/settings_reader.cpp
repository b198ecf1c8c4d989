#include "settings_reader.h"

#include "../checks/settings_checks.h"
#include "../parsing/section_readers.h"
#include "../parsing/settings_source.h"

#include <fstream>
#include <sstream>

namespace tamarack {

namespace {

using file_check = void (*)(settings_source&, const settings&);

void check_no_files(settings_source& /*source*/, const settings& /*value*/) {}

std::variant<settings, settings_mistakes> read(const std::string& text, file_check check) {
    auto parsed = settings_source::parse(text);
    if (const auto* mistake = std::get_if<settings_mistake>(&parsed)) {
        return settings_mistakes{*mistake};
    }
    auto& source = std::get<settings_source>(parsed);
    settings value;
    read_host(source, value);
    read_listen(source, value);
    read_seeds(source, value);
    read_edge(source, value);
    read_formation(source, value);
    read_forwarding(source, value.forwarding);
    read_teams(source, value.teams);
    read_ablation(source, value.forwarding.mechanisms);
    read_times(source, value.times);
    read_limits(source, value.limits);
    check_consistency(source, value);
    check(source, value);
    source.report_unknown();
    settings_mistakes mistakes = source.mistakes();
    if (!mistakes.empty()) {
        return mistakes;
    }
    return value;
}

} // namespace

std::variant<settings, settings_mistakes> parse_settings(const std::string& text) {
    return read(text, check_no_files);
}

std::variant<settings, settings_mistakes> read_settings_file(const std::string& path) {
    std::ifstream file{path};
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return settings_mistakes{{"", "", path, "a settings file that can be read and is not empty"}};
    }
    return read(text.str(), check_files);
}

std::string describe(const settings_mistake& mistake) {
    std::string line;
    if (!mistake.section.empty()) {
        line += "[" + mistake.section + "] ";
    }
    if (!mistake.key.empty()) {
        line += mistake.key + " ";
    }
    line += mistake.value.empty() ? "is missing" : "= \"" + mistake.value + "\"";
    return line + "; allowed: " + mistake.allowed;
}

} // namespace tamarack
