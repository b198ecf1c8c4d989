#include "json_lines.h"

namespace tamarack {

json_lines::json_lines() {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["commentStyle"] = "None";
    m_writer.reset(builder.newStreamWriter());
}

void json_lines::add(const Json::Value& value) {
    m_writer->write(value, &m_text);
    m_text << '\n';
}

} // namespace tamarack
