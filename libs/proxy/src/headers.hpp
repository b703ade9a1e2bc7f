/// @file
/// Header fields: which are forwarded, and which this proxy reads or writes itself. Pure.
#pragma once
#include "proxy/http.hpp"
namespace zinccleat::proxy {
/// Marks a request that a partner site forwarded: it is not forwarded to another site again.
inline constexpr std::string_view kPartnerSiteHeader = "X-Partner-Site";

/// What this proxy says in a request that it forwards.
struct ForwardingOptions {
  std::string_view expectedInstance;  ///< id of the runner's process
  std::string_view subscriber;        ///< the tenant; empty: none
  std::string_view lastEventId;       ///< resumes a stream after this event; empty: the client's own, if any
  Duration timeLeft{0};               ///< until the request's deadline
  int precedence = -1;                ///< -1: none
  bool removeAuthorization = true;    ///< the client's key is not for runners
  bool toPartner = false;             ///< to a node of a partner site instead of a runner
};
/// The request line and header of a request as it is forwarded, with the empty line that ends it.
std::string forwardedRequestHeader(const http::request_header<>& request, const ForwardingOptions& options,
                                   std::size_t bodyBytes);
/// The status line and header fields of a response as the client gets it, without framing and without the empty line.
std::string forwardedResponseHeader(const http::response_header<>& response);
/// The value of the first field with this name; empty if there is none.
std::string_view headerValue(const http::fields& fields, std::string_view name);
/// Compares ASCII text without regard to case.
bool equalsIgnoreCase(std::string_view text, std::string_view other);
/// Reads a number of at most twelve decimal digits.
/// @return `fallback` for any other text.
std::int64_t parseNumber(std::string_view text, std::int64_t fallback);
}  // namespace zinccleat::proxy
