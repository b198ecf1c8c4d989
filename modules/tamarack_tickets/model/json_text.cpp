#include "json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <exception>
#include <memory>
#include <sstream>

namespace tamarack {

namespace {

constexpr int max_nesting = 32;

Json::StreamWriterBuilder compact_writer() {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["commentStyle"] = "None";
    return builder;
}

Json::CharReaderBuilder strict_reader() {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_nesting;
    return builder;
}

} // namespace

std::string write_json(const Json::Value& value) {
    static const Json::StreamWriterBuilder builder = compact_writer();
    return Json::writeString(builder, value);
}

outcome<Json::Value> read_json(const std::string& text) {
    static const Json::CharReaderBuilder builder = strict_reader();
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string problem;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
            return error{error_code::malformed, problem};
        }
    } catch (const std::exception& failure) {
        return error{error_code::malformed, failure.what()};
    }
    return value;
}

} // namespace tamarack
