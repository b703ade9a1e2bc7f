/// @file
/// Header fields: which ones are forwarded, and which ones this proxy reads or sets. No I/O.
#pragma once
#include "proxy/http.hpp"
namespace zinccleat::proxy {
/// Header field that marks a request forwarded by a partner site. Such a request is not forwarded to a site again.
inline constexpr std::string_view kPartnerSiteHeader = "X-Partner-Site";

/// The values of the fields that this proxy sets in a forwarded request.
struct ForwardingOptions {
  std::string_view expectedInstance;  ///< id of the runner's process
  std::string_view subscriber;        ///< the tenant; empty if there is none
  std::string_view lastEventId;       ///< id of the event after which to resume; empty keeps the client's field
  Duration timeLeft{0};               ///< milliseconds until the request's deadline
  int precedence = -1;                ///< -1 if there is none
  bool removeAuthorization = true;    ///< whether to remove the client's key, which runners must not see
  bool toPartner = false;             ///< whether the request goes to a partner node instead of a runner
};
/// The request line and header of a forwarded request, including the empty line that ends the header.
std::string forwardedRequestHeader(const http::request_header<>& request, const ForwardingOptions& options,
                                   std::size_t bodyBytes);
/// The status line and header fields of a forwarded response, without framing fields and without the final empty line.
std::string forwardedResponseHeader(const http::response_header<>& response);
/// The value of the first field with this name; empty if there is none.
std::string_view headerValue(const http::fields& fields, std::string_view name);
/// Compares ASCII text without regard to case.
bool equalsIgnoreCase(std::string_view text, std::string_view other);
/// Parses a number of at most twelve decimal digits.
/// @return `fallback` for any other text.
std::int64_t parseNumber(std::string_view text, std::int64_t fallback);
}  // namespace zinccleat::proxy
