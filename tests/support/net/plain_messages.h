#pragma once

#include "http_types.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace tamarack::testing_support {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/** @param address  value of the Host field, unless the request sets one */
beast_request to_beast(const std::string& address, const plain_request& request, bool keep_alive);

plain_response from_beast(beast_response response);

} // namespace tamarack::testing_support
