#pragma once

#include "http_message.h"
#include "received_body.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarack {

/** Beast's request type with a string body. */
using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
/** Beast's type of a response to be written. */
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/** @return the request as http_request; its body is moved from Beast's request */
http_request from_beast(received_request&& request);
/** @return the response as http_response; its body is moved from Beast's response */
http_response from_beast(received_response&& response);

/** @return Beast's request, ready to be written; its Host field is host_field unless the request has one */
/**
 * Writes the head of a request in one piece. A request to many targets with many fields would take several
 * times the memory as a message of Beast's for each of them.
 *
 * @param host_field  value of the Host field if the request has none
 * @param body_bytes  size of the body that follows
 */
std::string write_request_head(const http_request& request, const std::string& host_field,
                               std::size_t body_bytes);
/** @return Beast's response, ready to be written */
beast_response to_beast(http_response&& response, unsigned version, bool keep_alive);

} // namespace tamarack
