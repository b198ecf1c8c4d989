#include "json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace tamarack::ctl {

namespace {

constexpr std::size_t indent_width = 2;

bool is_nested(const Json::Value& value) {
    return (value.isObject() || value.isArray()) && !value.empty();
}

std::string scalar_text(const Json::Value& value) {
    if (value.isNull() || value.isObject() || value.isArray()) {
        return "-";
    }
    return value.asString();
}

void append_lines(std::string& lines, const Json::Value& value, std::size_t indent);

void append_member(std::string& lines, const std::string& name, const Json::Value& value,
                   std::size_t indent) {
    lines += std::string(indent, ' ') + name;
    if (is_nested(value)) {
        lines += '\n';
        append_lines(lines, value, indent + indent_width);
        return;
    }
    lines += ' ' + scalar_text(value) + '\n';
}

void append_lines(std::string& lines, const Json::Value& value, std::size_t indent) {
    if (value.isObject()) {
        for (const std::string& name : value.getMemberNames()) {
            append_member(lines, name + ":", value[name], indent);
        }
        return;
    }
    if (value.isArray()) {
        for (const Json::Value& item : value) {
            append_member(lines, "-", item, indent);
        }
        return;
    }
    lines += std::string(indent, ' ') + scalar_text(value) + '\n';
}

} // namespace

std::optional<Json::Value> parse_json(const std::string& text) {
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            return std::nullopt;
        }
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return value;
}

std::string to_json_line(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value) + "\n";
}

std::string to_lines(const Json::Value& value) {
    std::string lines;
    append_lines(lines, value, 0);
    return lines;
}

} // namespace tamarack::ctl
