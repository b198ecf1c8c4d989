#include <utility>

#include "beast_conversion.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace tamarack {

namespace {

namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

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

/** Keeps repeated fields; a Host field replaces the one that was set from the connection's address. */
void insert_request_fields(beast_request& message, const http_fields& fields) {
    for (const auto& [name, value] : fields) {
        if (boost::beast::iequals(name, "Host")) {
            message.set(http::field::host, value);
        } else {
            message.insert(name, value);
        }
    }
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

http_response from_beast(beast_response&& response) {
    http_response converted;
    converted.status = response.result_int();
    converted.fields = copy_fields(response);
    converted.body = std::move(response.body());
    return converted;
}

beast_request to_beast(const http_request& request, const std::string& host_field) {
    const http::verb verb = request.method == http_method::post ? http::verb::post : http::verb::get;
    beast_request converted{verb, request.target, http_1_1};
    converted.set(http::field::host, host_field);
    if (!request.method_name.empty()) {
        converted.method_string(request.method_name);
    }
    insert_request_fields(converted, request.fields);
    converted.body() = request.body;
    if (converted.method() == http::verb::trace) {
        converted.body().clear(); // prepare_payload throws otherwise; servers refuse such requests
    }
    converted.prepare_payload();
    return converted;
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
