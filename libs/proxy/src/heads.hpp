// Which heads go on, and which are ours to read or write.
#pragma once
#include "proxy/http.hpp"
namespace zinccleat::proxy {
bool sameText(std::string_view a, std::string_view b);
// The request's head as the runner gets it.
struct Outbound {
  std::string_view expectedInstance, subscriber, lastEventId;
  Duration left{0};
  int precedence = -1;
  bool hideKey = true;
  bool toPartner = false;  // another site's node, not a runner
};
// Marks a request that came from a partner site: it is not sent on to another.
constexpr std::string_view kFromPartner = "X-Partner-Site";
std::string outboundHead(const http::request_header<>& h, const Outbound& o, std::size_t bodySize);
// The answer's head as the client gets it, without framing.
std::string inboundHead(const http::response_header<>& h);
// The first header of this name; empty if there is none.
std::string_view field(const http::fields& f, std::string_view name);
// A header's value as a number of at most twelve digits; otherwise, if it is none.
std::int64_t wholeNumber(std::string_view s, std::int64_t otherwise);
}  // namespace zinccleat::proxy
