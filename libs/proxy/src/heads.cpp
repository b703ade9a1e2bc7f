#include "heads.hpp"

namespace zinccleat::proxy {
namespace {
char low(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}
constexpr std::size_t kMostDigits = 12;
constexpr std::string_view kOneWire[] = {"connection",
                                         "keep-alive",
                                         "proxy-connection",
                                         "proxy-authenticate",
                                         "proxy-authorization",
                                         "te",
                                         "trailer",
                                         "transfer-encoding",
                                         "upgrade",
                                         "content-length",
                                         "expect"};
// Heads that we interpret: an allow list would be ours alone; the protocol has unknown ones pass.
constexpr std::string_view kOurs[] = {"x-partner-site", "x-subscriber", "x-expected-instance", "x-deadline-ms",
                                      "x-precedence"};
template <std::size_t N>
bool in(const std::string_view (&list)[N], std::string_view n) {
  for (auto x : list)
    if (sameText(x, n))
      return true;
  return false;
}
bool namedByConnection(const http::fields& f, std::string_view n) {
  for (auto [it, end] = f.equal_range(http::field::connection); it != end; ++it) {
    std::string_view v(it->value().data(), it->value().size());
    while (!v.empty()) {
      const auto c = std::min(v.find(','), v.size());
      auto t = v.substr(0, c);
      while (!t.empty() && (t.front() == ' ' || t.front() == '\t'))
        t.remove_prefix(1);
      while (!t.empty() && (t.back() == ' ' || t.back() == '\t'))
        t.remove_suffix(1);
      if (sameText(t, n))
        return true;
      v.remove_prefix(std::min(v.size(), c + 1));
    }
  }
  return false;
}
void put(std::string& s, std::string_view n, std::string_view v) {
  s += n;
  s += ": ";
  s += v;
  s += "\r\n";
}
}  // namespace
bool sameText(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return low(x) == low(y); });
}
std::int64_t wholeNumber(std::string_view s, std::int64_t otherwise) {
  if (s.empty() || s.size() > kMostDigits)
    return otherwise;
  std::int64_t n = 0;
  for (char c : s) {
    if (c < '0' || c > '9')
      return otherwise;
    n = n * 10 + (c - '0');
  }
  return n;
}
std::string_view field(const http::fields& f, std::string_view name) {
  const auto it = f.find({name.data(), name.size()});
  if (it == f.end())
    return {};
  return {it->value().data(), it->value().size()};
}
std::string outboundHead(const http::request_header<>& h, const Outbound& o, std::size_t bodySize) {
  std::string s;
  s.reserve(768);
  s.append(h.method_string().data(), h.method_string().size());
  s += ' ';
  s.append(h.target().data(), h.target().size());
  s += " HTTP/1.1\r\n";
  const bool conn = h.count(http::field::connection) > 0;
  for (auto& f : h) {
    const std::string_view n(f.name_string().data(), f.name_string().size());
    if (in(kOneWire, n) || in(kOurs, n))
      continue;
    if (o.hideKey && sameText(n, "authorization"))
      continue;
    if (!o.lastEventId.empty() && sameText(n, "last-event-id"))
      continue;
    if (conn && namedByConnection(h, n))
      continue;
    put(s, n, {f.value().data(), f.value().size()});
  }
  if (o.toPartner)
    put(s, kFromPartner, "1");
  else
    put(s, "X-Expected-Instance", o.expectedInstance);
  put(s, "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, o.left.count())));
  if (!o.subscriber.empty())
    put(s, "X-Subscriber", o.subscriber);
  if (!o.lastEventId.empty())
    put(s, "Last-Event-Id", o.lastEventId);
  if (o.precedence >= 0)
    put(s, "X-Precedence", std::to_string(std::min(9, o.precedence)));
  const auto m = h.method();
  if (bodySize > 0 || (m != http::verb::get && m != http::verb::head && m != http::verb::delete_))
    put(s, "Content-Length", std::to_string(bodySize));
  s += "\r\n";
  return s;
}
std::string inboundHead(const http::response_header<>& h) {
  std::string s;
  s.reserve(512);
  s += "HTTP/1.1 " + std::to_string(h.result_int()) + " ";
  s.append(h.reason().data(), h.reason().size());
  s += "\r\n";
  const bool conn = h.count(http::field::connection) > 0;
  for (auto& f : h) {
    const std::string_view n(f.name_string().data(), f.name_string().size());
    if (in(kOneWire, n) || sameText(n, "x-instance-load"))
      continue;
    if (conn && namedByConnection(h, n))
      continue;
    put(s, n, {f.value().data(), f.value().size()});
  }
  return s;
}
}  // namespace zinccleat::proxy
