#pragma once

#include "../model/settings_reader.h"

#include <boost/property_tree/ptree.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack {

/** A key and its value, as written. */
using settings_entry = std::pair<std::string, std::string>;

/**
 * The values of one settings file, together with the mistakes found while they are read.
 *
 * Each key that is looked up counts as known; report_unknown reports all others.
 */
class settings_source {
public:
    /** @return the source, or a mistake when the text is not valid INI */
    static std::variant<settings_source, settings_mistake> parse(const std::string& text);

    /** @return the value as written, or nothing when the key is missing */
    std::optional<std::string> find(const std::string& section, const std::string& key);

    /** @return all entries of a section, which may have any keys */
    std::vector<settings_entry> entries(const std::string& section);

    /** Records a mistake; the key's value is looked up in the file. */
    void report(const std::string& section, const std::string& key, const std::string& allowed);

    /** Reports every key and section that was never looked up. */
    void report_unknown();

    /** @return the mistakes: first those of keys in the file, in the file's order, then missing keys */
    settings_mistakes mistakes() const;

private:
    using key_path = std::pair<std::string, std::string>;

    explicit settings_source(const boost::property_tree::ptree& tree);

    std::map<key_path, std::string> m_values;
    std::vector<key_path> m_order;
    std::set<key_path> m_known_keys;
    std::set<std::string> m_known_sections;
    settings_mistakes m_mistakes;
};

} // namespace tamarack
