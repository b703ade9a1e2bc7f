#include "operations/call.hpp"

#include "proxy/http.hpp"

namespace zinccleat::operations {
namespace {
Result<Called> callThere(const std::string& address, const std::string& path, const Call& c, Duration within,
                         std::string& location) {
  auto ep = runtime::parseEndpoint(address);
  if (!ep)
    return tl::unexpected(ep.error());
  runtime::Connection w;
  runtime::SocketError ec;
  w.setDeadline(Clock::now() + within);
  w.connect(*ep, ec);
  if (ec)
    return makeError(ErrorCode::unavailable, address + ": " + (w.deadlineExceeded() ? "no answer" : ec.message()));
  std::string s = c.method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n";
  for (auto& [n, v] : c.heads)
    s += n + ": " + v + "\r\n";
  if (!c.body.empty())
    s += "Content-Type: application/json\r\n";
  s += "Content-Length: " + std::to_string(c.body.size()) + "\r\n\r\n" + c.body;
  w.write(asio::buffer(s), ec);
  proxy::Buffer buf;
  http::response_parser<http::string_body> p;
  p.eager(true);
  p.body_limit(64U << 20);
  if (!ec)
    proxy::pump(w, buf, p, false, ec);
  if (ec)
    return makeError(ErrorCode::unavailable, address + ": " + (w.deadlineExceeded() ? "no answer" : ec.message()));
  const auto l = p.get()[http::field::location];
  location.assign(l.data(), l.size());
  return Called{static_cast<int>(p.get().result_int()), p.get().body(), address};
}
}  // namespace
Result<Called> callOne(const std::string& first, const Call& c, Duration within) {
  auto address = first;
  auto path = c.path;
  for (int hop = 0;; ++hop) {
    std::string location;
    auto r = callThere(address, path, c, within, location);
    if (!r || r->status != 307 || hop == 2)
      return r;
    constexpr std::string_view scheme = "http://";
    if (location.rfind(scheme, 0) != 0)
      return makeError(ErrorCode::unavailable, address + ": a redirection without an address");
    location.erase(0, scheme.size());
    const auto slash = location.find('/');
    address = location.substr(0, slash);
    path = slash == std::string::npos ? "/" : location.substr(slash);
  }
}
Result<Called> callAny(const std::vector<std::string>& addresses, const Call& c, Duration within) {
  Result<Called> last = makeError(ErrorCode::unavailable, "no address to call");
  for (auto& a : addresses) {
    last = callOne(a, c, within);
    if (last && last->status < 500)
      return last;
  }
  return last;
}
std::vector<std::string> splitList(std::string_view s) {
  std::vector<std::string> out;
  while (!s.empty()) {
    const auto c = std::min(s.find(','), s.size());
    if (c > 0)
      out.emplace_back(s.substr(0, c));
    s.remove_prefix(std::min(s.size(), c + 1));
  }
  return out;
}
int runOnEventLoop(const std::function<int()>& f) {
  runtime::EventLoop loop;
  int rc = 0;
  loop.spawn([&] {
    rc = f();
    loop.stop();
  });
  loop.run();
  return rc;
}
}  // namespace zinccleat::operations
