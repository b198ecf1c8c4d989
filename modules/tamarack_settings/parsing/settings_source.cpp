#include "settings_source.h"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <sstream>

namespace tamarack {

std::variant<settings_source, settings_mistake> settings_source::parse(const std::string& text) {
    boost::property_tree::ptree tree;
    std::istringstream stream{text};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& failure) {
        return settings_mistake{"", "", "line " + std::to_string(failure.line()),
                                "INI with unique sections and keys: " + failure.message()};
    }
    return settings_source{tree};
}

settings_source::settings_source(const boost::property_tree::ptree& tree) {
    for (const auto& [name, node] : tree) {
        if (node.empty()) {
            m_values.emplace(key_path{"", name}, node.data());
            m_order.emplace_back("", name);
        }
        for (const auto& [key, value] : node) {
            m_values.emplace(key_path{name, key}, value.data());
            m_order.emplace_back(name, key);
        }
    }
}

std::optional<std::string> settings_source::find(const std::string& section, const std::string& key) {
    m_known_keys.emplace(section, key);
    m_known_sections.insert(section);
    const auto found = m_values.find({section, key});
    if (found == m_values.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<settings_entry> settings_source::entries(const std::string& section) {
    m_known_sections.insert(section);
    std::vector<settings_entry> found;
    for (const key_path& candidate : m_order) {
        if (candidate.first != section) {
            continue;
        }
        m_known_keys.insert(candidate);
        found.emplace_back(candidate.second, m_values.at(candidate));
    }
    return found;
}

void settings_source::report(const std::string& section, const std::string& key, const std::string& allowed) {
    const auto found = m_values.find({section, key});
    const std::string value = found == m_values.end() ? std::string{} : found->second;
    m_mistakes.push_back({section, key, value, allowed});
}

void settings_source::report_unknown() {
    for (const key_path& candidate : m_order) {
        if (m_known_keys.contains(candidate)) {
            continue;
        }
        const bool known_section = m_known_sections.contains(candidate.first);
        report(candidate.first, candidate.second, known_section ? "no such key" : "no such section");
    }
}

settings_mistakes settings_source::mistakes() const {
    const auto position = [this](const settings_mistake& mistake) {
        return std::find(m_order.begin(), m_order.end(), key_path{mistake.section, mistake.key}) -
               m_order.begin();
    };
    settings_mistakes sorted = m_mistakes;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const settings_mistake& left, const settings_mistake& right) {
                         return position(left) < position(right);
                     });
    return sorted;
}

} // namespace tamarack
