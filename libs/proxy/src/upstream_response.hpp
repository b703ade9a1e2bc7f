/// @file
/// Reads the responses of runners and partner nodes, and validates their headers.
#pragma once
#include <string_view>

#include "proxy/http.hpp"
namespace zinccleat::proxy {
using ResponseParser = http::response_parser<http::string_body>;

constexpr bool isInterim(unsigned status) {
  return status / 100 == 1;
}
constexpr bool isSuccess(unsigned status) {
  return status / 100 == 2;
}
constexpr bool isClientError(unsigned status) {
  return status / 100 == 4;
}
constexpr bool isServerError(unsigned status) {
  return status / 100 == 5;
}
/// Whether a status tells the client that the request was not run.
bool promisesNotExecuted(unsigned status);
/// Whether the response states that the runner did not run the request.
bool isNotExecuted(const http::response_header<>& header);
/// Whether a successful response carries the runner's seal and no content coding. Only such a response may be
/// forwarded.
bool isSealed(const http::response_header<>& header);
/// Whether the response belongs to this attempt.
bool belongsTo(const http::response_header<>& header, std::string_view attemptId);
/// The time until which the connection may be reused: the runner's `Keep-Alive` timeout from now, minus a margin.
TimePoint reusableUntil(const http::response_header<>& header, TimePoint now);

/// Sets the size limit and the mode of a parser.
void configureParser(ResponseParser& parser);
/// Reads up to the end of the header of the final response to an attempt. Skips interim responses and a small number of
/// responses that belong to other attempts.
/// @param parser   receives the response, which may still belong to another attempt
/// @param request  the method that was sent; a response to HEAD has no body
/// @return the error of the connection or the parser; none on success.
runtime::SocketError readFinalHeader(runtime::Connection& upstream, Buffer& buffer,
                                     std::optional<ResponseParser>& parser, http::verb request,
                                     std::string_view attemptId);
}  // namespace zinccleat::proxy
