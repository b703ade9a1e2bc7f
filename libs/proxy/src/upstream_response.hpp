/// @file
/// Reads the responses of runners and partner nodes, and checks what they claim.
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
/// Whether the status promises that the request was not run.
bool promisesNotExecuted(unsigned status);
/// Whether the runner says that it did not run the request.
bool isNotExecuted(const http::response_header<>& header);
/// Whether a success carries the runner's seal and no content coding: only then it may be forwarded.
bool isSealed(const http::response_header<>& header);
/// Whether the response belongs to this attempt.
bool belongsTo(const http::response_header<>& header, std::string_view attemptId);
/// When the runner closes the connection if it stays idle from now on: as its `Keep-Alive` says, with a margin.
TimePoint reusableUntil(const http::response_header<>& header, TimePoint now);

/// Sets the limits of a parser.
void configureParser(ResponseParser& parser);
/// Reads up to the end of the header of the final response to an attempt. Interim responses are skipped, and so are a
/// few responses that belong to other attempts.
/// @param parser   gets the response, which may still be another attempt's
/// @param request  the method that was sent: a response to HEAD has no body
/// @return the error of the connection or the parser, if any.
runtime::SocketError readFinalHeader(runtime::Connection& upstream, Buffer& buffer,
                                     std::optional<ResponseParser>& parser, http::verb request,
                                     std::string_view attemptId);
}  // namespace zinccleat::proxy
