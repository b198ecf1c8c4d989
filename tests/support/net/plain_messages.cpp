#include "plain_messages.h"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <cctype>

namespace tamarack::testing_support {

beast_request to_beast(const std::string& address, const plain_request& request, bool keep_alive) {
    beast_request message;
    message.method_string(request.method);
    message.target(request.path);
    message.set(boost::beast::http::field::host, address);
    for (const auto& [name, value] : request.fields) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.keep_alive(keep_alive);
    message.prepare_payload();
    return message;
}

plain_response from_beast(beast_response response) {
    plain_response plain;
    plain.status = response.result_int();
    for (const auto& field : response) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        plain.fields[name] = std::string{field.value()};
    }
    plain.body = std::move(response.body());
    return plain;
}

} // namespace tamarack::testing_support
