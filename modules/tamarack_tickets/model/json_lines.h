#pragma once

#include <json/value.h>
#include <json/writer.h>

#include <memory>
#include <sstream>
#include <string>

namespace tamarack {

/**
 * Writes JSON values, one per line, through a single writer, which is cheaper than calling write_json for
 * each.
 */
class json_lines {
public:
    json_lines();

    void add(const Json::Value& value);

    /** @return all lines written so far, each with its line terminator */
    std::string text() const { return m_text.str(); }

private:
    std::unique_ptr<Json::StreamWriter> m_writer;
    std::ostringstream m_text;
};

} // namespace tamarack
