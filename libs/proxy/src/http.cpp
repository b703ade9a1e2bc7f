#include "proxy/http.hpp"

#include <cstddef>

#include "config/control_requests.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;

int statusOf(const runtime::SocketError& ec) {
  if (ec == http::error::header_limit)
    return 431;
  if (ec == http::error::body_limit)
    return 413;
  return 400;
}
bool protocolFault(const runtime::SocketError& ec) {
  return ec.category() == make_error_code(http::error::bad_line_ending).category();
}
}  // namespace

bool awaitRequest(runtime::Connection& w, Buffer& buf, Duration idle) {
  if (buf.size() > 0)
    return true;
  runtime::SocketError ec;
  w.setDeadline(Clock::now() + idle);
  auto n = w.read(buf.prepare(kReadBytes), ec);
  w.clearDeadline();
  // Why once more: bytes may have come in the very turn in which the wait was cancelled.
  runtime::SocketError unknown;
  if (ec == asio::error::operation_aborted && w.socket().available(unknown) > 0) {
    ec = {};
    n = w.read(buf.prepare(kReadBytes), ec);
  }
  if (ec || n == 0)
    return false;
  buf.commit(n);
  return true;
}
ReadResult readRequest(runtime::Connection& w, Buffer& buf, RequestParser& p, const ReadLimits& l) {
  runtime::SocketError ec;
  p.header_limit(static_cast<std::uint32_t>(l.header));
  p.body_limit(l.body);
  p.eager(true);
  if (!awaitRequest(w, buf, l.idle))
    return {ReadEnd::closed, 0};
  const auto began = Clock::now();
  w.setDeadline(began + l.headerTime);
  pump(w, buf, p, true, ec);
  // A coding that is not chunked leaves open where the body ends: what follows must not be read as a request.
  if (!ec && !p.chunked() && p.get().count(http::field::transfer_encoding))
    ec = http::error::bad_transfer_encoding;
  if (!ec && !p.is_done()) {
    w.setDeadline(Clock::now() + l.bodyTime);
    // Why answered at once: a caller that asks first would wait for ever.
    if (p.get().count(http::field::expect))
      w.write(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ec);
    if (!ec)
      pump(w, buf, p, false, ec);
  }
  const bool late = w.deadlineExceeded();
  w.clearDeadline();
  if (!ec)
    return {ReadEnd::whole, 0};
  if (late)
    return {ReadEnd::errorResponse, 408};
  if (protocolFault(ec) && ec != http::error::end_of_stream && ec != http::error::partial_message)
    return {ReadEnd::errorResponse, statusOf(ec)};
  return {ReadEnd::closed, 0};
}

std::string_view reasonOf(int s) {
  return http::obsolete_reason(static_cast<http::status>(s));
}
std::string plainAnswer(int status, std::string_view heads, std::string_view type, std::string_view body, bool keep) {
  std::string a;
  a.reserve(160 + heads.size() + body.size());
  a += "HTTP/1.1 " + std::to_string(status) + " ";
  a += reasonOf(status);
  a += "\r\n";
  a += heads;
  if (!body.empty())
    (a += "Content-Type: ") += type, a += "\r\n";
  a += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!keep)
    a += "Connection: close\r\n";
  a += "\r\n";
  a += body;
  return a;
}
std::string jsonError(std::string_view text) {
  return "{\"error\":" + config::quoteJson(text) + "}";
}
}  // namespace zinccleat::proxy
