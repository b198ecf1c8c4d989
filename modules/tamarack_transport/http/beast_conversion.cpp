#include <utility>

#include "beast_conversion.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <string_view>

#include <strings.h>

namespace tamarack {

namespace {

namespace http = boost::beast::http;

http_method from_verb(http::verb verb) {
    switch (verb) {
    case http::verb::get:
        return http_method::get;
    case http::verb::post:
        return http_method::post;
    default:
        return http_method::other;
    }
}

template <typename Fields>
http_fields copy_fields(const Fields& message) {
    http_fields fields;
    for (const auto& field : message) {
        fields.emplace_back(std::string{field.name_string()}, std::string{field.value()});
    }
    return fields;
}

template <typename Message>
void insert_fields(Message& message, const http_fields& fields) {
    for (const auto& [name, value] : fields) {
        message.insert(name, value);
    }
}

bool equal_names(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

/** @return whether a field states where a body ends, which is written for the body that is sent */
bool frames_body(std::string_view name) {
    return equal_names(name, "Content-Length") || equal_names(name, "Transfer-Encoding");
}

} // namespace

http_request from_beast(received_request&& request) {
    http_request converted;
    converted.method = from_verb(request.method());
    converted.method_name = std::string{request.method_string()};
    converted.target = std::string{request.target()};
    converted.fields = copy_fields(request);
    converted.body = std::move(request.body());
    return converted;
}

http_response from_beast(received_response&& response) {
    http_response converted;
    converted.status = response.result_int();
    converted.fields = copy_fields(response);
    converted.body = std::move(response.body());
    return converted;
}

std::string write_request_head(const http_request& request, const std::string& host_field,
                               std::size_t body_bytes) {
    const bool has_host = std::any_of(request.fields.begin(), request.fields.end(),
                                      [](const auto& field) { return equal_names(field.first, "Host"); });
    const bool is_post = request.method == http_method::post;
    const std::string_view default_method = is_post ? "POST" : "GET";
    const std::string_view method = request.method_name.empty() ? default_method : request.method_name;
    std::string head;
    const auto add = [&head](std::string_view name, std::string_view value) {
        head.append(name).append(": ").append(value).append("\r\n");
    };
    head.append(method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!has_host) {
        add("Host", host_field);
    }
    for (const auto& [name, value] : request.fields) {
        if (!frames_body(name)) {
            add(name, value);
        }
    }
    const bool expects_body = method == "POST" || method == "PUT" || method == "OPTIONS";
    if (body_bytes > 0 || expects_body) {
        add("Content-Length", std::to_string(body_bytes));
    }
    return head.append("\r\n");
}

beast_response to_beast(http_response&& response, unsigned version, bool keep_alive) {
    beast_response converted;
    converted.version(version);
    converted.result(response.status);
    insert_fields(converted, response.fields);
    converted.keep_alive(keep_alive);
    constexpr unsigned no_content = 204;
    if (response.status != no_content) {
        converted.body() = std::move(response.body);
        converted.prepare_payload();
    }
    return converted;
}

} // namespace tamarack
